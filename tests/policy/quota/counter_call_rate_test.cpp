// Tests of the rate at which gateways call the counter that they share: as high as the counter can
// serve, lower while the counter is overloaded or silent, and quickly restored after an outage.
// counter_rate_limiter_test.cpp tests CounterRateLimiter by itself.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/gateway_harness.hpp"
#include "support/quota_share_trial.hpp"

namespace quota_gateway::testing {
namespace {

// Sends the first request of a new customer, for which the gateway wants a total. Returns the
// gateway's calls to the counter.
std::vector<AddToCounter> calls_for_new_customer(GatewayHarness& gateway, Micros now, int number) {
  RequestArrived request = make_request(prefixed_number("x", number), now);
  request.customer = prefixed_number("c", number);
  return counter_calls(gateway.handle(now, {request}));
}

TEST(CounterRateLimiter, CounterThatNeverRepliesIsCalledLess) {
  const std::size_t calls_unanswered =
      run_quota_share_trial({.others_rate = 36, .counter_fault = CounterOutcome::kUnknown})
          .counter_calls;
  const std::size_t calls_answered = run_quota_share_trial({.others_rate = 36}).counter_calls;
  EXPECT_LT(calls_unanswered, calls_answered * 2);

  GatewayHarness gateway(settings_with_counter());
  std::size_t early_calls = 0;
  std::size_t late_calls = 0;
  for (int i = 0; i < 4000; ++i) {
    const Micros now = i * 5 * kMillisecond;
    for (const AddToCounter& call : calls_for_new_customer(gateway, now, i)) {
      ++(i < 2000 ? early_calls : late_calls);
      gateway.handle(now, {make_counter_timeout(call, 0)});
    }
  }
  EXPECT_GT(late_calls, 5U);  // enough calls to detect that the counter has recovered
  EXPECT_LT(late_calls, 25U);
  EXPECT_GT(early_calls, late_calls);
}

// Returns the number of calls that a gateway makes in 20 s when one call in five gets no reply and
// fails after `lost_after`.
std::size_t calls_with_losses(Micros lost_after) {
  GatewayHarness gateway(settings_with_counter());
  std::size_t calls = 0;
  for (int i = 0; i < 4000; ++i) {
    const Micros now = i * 5 * kMillisecond;
    for (const AddToCounter& call : calls_for_new_customer(gateway, now, i)) {
      const bool lost = ++calls % 5 == 0;
      gateway.handle(now + kMillisecond, {lost ? make_counter_timeout(call, lost_after)
                                               : make_counter_reply(call, call.amount)});
    }
  }
  return calls;
}

TEST(CounterRateLimiter, CallsLostWithTheirConnectionDoNotSlowTheOthers) {
  // A connection reset during one call in five does not indicate load on the counter; a timeout of
  // one call in five does.
  EXPECT_GT(calls_with_losses(kMillisecond), 2000U);
  EXPECT_LT(calls_with_losses(settings_with_counter().counter_timeout), 400U);
}

// Returns the number of calls that a gateway makes for its first twenty customers after a start.
std::size_t first_calls(int gateway_count) {
  Settings settings = settings_with_counter();
  settings.gateway_count = gateway_count;
  GatewayHarness gateway(settings);
  for (int i = 0; i < 20; ++i) {
    calls_for_new_customer(gateway, (i + 1) * kMillisecond, i);
  }
  return counter_calls(gateway.actions()).size();
}

TEST(CounterRateLimiter, FirstCustomersAfterAStartAllGetATotalInASmallFleet) {
  EXPECT_EQ(first_calls(4), 20U);
  EXPECT_LE(first_calls(100), 4U);  // a hundred gateways would overload the counter
}

TEST(CounterRateLimiter, LateRepliesAfterAStartDoNotLowerTheRateForLong) {
  // Guards against a rate that stays at the minimum of one call per second after gateways
  // overloaded the counter in their first second.
  Settings settings = settings_with_counter();
  settings.gateway_count = 100;
  GatewayHarness gateway(settings);
  std::size_t calls = 0;
  for (int i = 0; i < 80; ++i) {
    const Micros now = (i + 1) * 100 * kMillisecond;
    const bool overloaded = now < kSecond;
    for (const AddToCounter& call : calls_for_new_customer(gateway, now, i)) {
      if (now > 3 * kSecond) {
        ++calls;
      }
      const CounterReply reply = overloaded ? make_counter_timeout(call, settings.counter_timeout)
                                            : make_counter_reply(call, call.amount);
      gateway.handle(now + reply.duration, {reply});
    }
  }
  EXPECT_GE(calls, 15U);  // in 5 s
}

// Gateways that together receive 2,000 new customers per second, and a counter that serves 400
// calls per second, one at a time.
class OverloadedCounter {
 public:
  struct Calls {
    int total = 0;
    int timed_out = 0;
  };

  explicit OverloadedCounter(int gateway_count) {
    settings_.gateway_count = gateway_count;
    settings_.counter_timeout = 30 * kMillisecond;
    for (int i = 0; i < gateway_count; ++i) {
      gateways_.emplace_back(settings_, make_endpoints({"a", "b", "c"}), std::uint64_t(i + 1));
    }
  }

  // Runs 12 s and returns the calls of the second half.
  Calls run() {
    for (int i = 0; i < 24'000; ++i) {
      const Micros now = (i + 1) * 500;
      deliver_replies(now);
      const std::size_t gateway = (std::size_t(i) * 7919) % gateways_.size();
      for (const AddToCounter& call : calls_for_new_customer(gateways_[gateway], now, i)) {
        serve(gateway, now, call);
      }
    }
    return calls_;
  }

 private:
  static constexpr Micros kServiceTime = 2'500;

  void deliver_replies(Micros now) {
    while (!replies_.empty() && replies_.begin()->first <= now) {
      const auto& [gateway, reply] = replies_.begin()->second;
      gateways_[gateway].handle(now, {reply});
      replies_.erase(replies_.begin());
    }
  }

  void serve(std::size_t gateway, Micros now, const AddToCounter& call) {
    idle_at_ = std::max(idle_at_, now) + kServiceTime;
    const Micros duration = std::min(idle_at_ - now + kMillisecond, settings_.counter_timeout);
    const bool in_time = duration < settings_.counter_timeout;
    const CounterReply reply = in_time ? make_counter_reply(call, call.amount, duration)
                                       : make_counter_timeout(call, duration);
    replies_.emplace(now + duration, std::pair(gateway, reply));
    if (now > 6 * kSecond) {
      ++calls_.total;
      calls_.timed_out += in_time ? 0 : 1;
    }
  }

  Settings settings_ = settings_with_counter();
  std::vector<GatewayHarness> gateways_;
  std::multimap<Micros, std::pair<std::size_t, CounterReply>> replies_;  // by delivery time
  Micros idle_at_ = 0;  // when the counter will have served all present calls
  Calls calls_;
};

TEST(CounterRateLimiter, CallsOfAllGatewaysStayWithinTheCountersCapacity) {
  for (const int gateway_count : {4, 20, 100}) {
    const OverloadedCounter::Calls calls = OverloadedCounter(gateway_count).run();
    EXPECT_GE(calls.total, 6 * 80) << gateway_count;  // the counter's capacity is used
    EXPECT_LE(calls.total, 6 * 420) << gateway_count;
    EXPECT_LE(calls.timed_out, calls.total / 2) << gateway_count;
  }
}

TEST(CounterRateLimiter, UnusedRateDoesNotGrow) {
  GatewayHarness gateway(settings_with_counter());
  const auto calls_for = [&](Micros now, const std::string& customer) {
    RequestArrived request = make_request(std::string("r").append(customer), now);
    request.customer = customer;
    return counter_calls(gateway.handle(now, {request}));
  };
  for (int i = 0; i < 600; ++i) {
    const Micros now = (i + 1) * 100 * kMillisecond;
    for (const AddToCounter& call : calls_for(now, prefixed_number("quiet", i))) {
      gateway.handle(now + kMillisecond, {make_counter_reply(call, call.amount)});
    }
  }
  std::size_t calls = 0;
  for (int i = 0; i < 1000; ++i) {
    calls += calls_for(61 * kSecond, prefixed_number("crowd", i)).size();
  }
  EXPECT_LE(calls, 100U);  // this gateway's half of the initial limit; there are two gateways
  EXPECT_GE(calls, 20U);
}

TEST(CounterRateLimiter, RateRecoversAfterAnOutage) {
  // The counter does not reply to dozens of calls and then replies as before.
  enum Phase { kBefore, kSilent, kAfter, kPhases };
  const auto phase_of = [](int request) {
    if (request < 1200) {
      return kBefore;
    }
    return request < 1800 ? kSilent : kAfter;
  };
  const Micros timeout = settings_with_counter().counter_timeout;
  GatewayHarness gateway(settings_with_counter());
  std::array<std::size_t, kPhases> calls{};
  for (int i = 0; i < 2400; ++i) {
    const Micros now = i * 5 * kMillisecond;
    const Phase phase = phase_of(i);
    for (const AddToCounter& call : calls_for_new_customer(gateway, now, i)) {
      ++calls[phase];
      const CounterReply reply = phase == kSilent ? make_counter_timeout(call, timeout)
                                                  : make_counter_reply(call, call.amount);
      gateway.handle(now + reply.duration, {reply});
    }
  }
  EXPECT_GT(calls[kBefore], 200U);
  EXPECT_LT(calls[kSilent], 400U);
  EXPECT_GT(calls[kAfter], 100U);  // in the last 3 s
}

}  // namespace
}  // namespace quota_gateway::testing
