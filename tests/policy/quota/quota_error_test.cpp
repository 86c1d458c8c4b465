// Tests that the error of quota enforcement over all gateways does not grow with the number of
// gateways.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

// Simulates customers of one plan that use all gateways, and one counter. The counter serves calls
// one at a time at a fixed rate and replies half a millisecond later. A call that takes longer than
// the timeout is added but gets no reply. Requests are random in time, size and gateway. Servers
// respond immediately.
class QuotaErrorTrial {
 public:
  struct Result {
    double beyond_quota = 0;     // units forwarded beyond the quotas / units forwarded
    double rejected_within = 0;  // units rejected within the quotas / units requested
    double used = 0;   // units forwarded within the quotas / min(units allowed, units requested)
    double calls = 0;  // calls to the counter per request
  };

  // Each customer requests `load` times its quota. The counter can serve `calls_per_request` calls
  // for each request.
  QuotaErrorTrial(int gateway_count, double load, double calls_per_request)
      : request_interval_(kMeanUnits / (kRate * load * kCustomers)),
        service_time_(request_interval_ / calls_per_request) {
    Settings settings = settings_with_counter();
    set_quota(settings, kRate, kBurst);
    settings.max_request_units = 4;
    settings.gateway_count = gateway_count;
    settings.counter_timeout = kCounterTimeout;
    for (int i = 0; i < gateway_count; ++i) {
      gateways_.emplace_back(settings, make_endpoints({"a", "b", "c", "d"}), std::uint64_t(i + 1));
    }
    quotas_.assign(kCustomers, {kBurst, kStart});
  }

  Result run() {
    const Micros end = kStart + kSeconds * kSecond;
    double elapsed = 0;  // s
    while (kStart + Micros(elapsed * kSecond) < end) {
      send_request(kStart + Micros(elapsed * kSecond));
      elapsed -= std::log(1 - random_fraction()) * request_interval_;
    }
    deliver_replies(end);
    const double allowed = std::min(requested_units_, kCustomers * (kRate * kSeconds + kBurst));
    return {beyond_quota_ / (beyond_quota_ + within_quota_), rejected_within_ / requested_units_,
            within_quota_ / allowed, double(calls_) / requests_};
  }

 private:
  static constexpr double kRate = 10;  // units per second
  static constexpr double kBurst = 18;
  static constexpr double kMeanUnits = 2;  // of a request
  static constexpr int kCustomers = 60;
  static constexpr int kSeconds = 10;
  static constexpr Micros kStart = 1000 * kSecond;
  static constexpr Micros kCounterTimeout = 30 * kMillisecond;

  // A customer's quota as a single gateway would enforce it.
  struct ExactQuota {
    double units = 0;
    Micros refilled_at = 0;
  };
  struct OpenRequest {
    std::size_t customer = 0;
    double units = 0;
  };

  double random_fraction() {
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return double(random_ >> 11) * 0x1p-53;
  }

  void send_request(Micros now) {
    deliver_replies(now);
    const int customer = int(random_fraction() * kCustomers);
    const double units = 1 + std::floor(random_fraction() * 3);
    RequestArrived request = make_request(prefixed_number("r", ++requests_), now, units);
    request.customer = prefixed_number("c", customer);
    request.gateway_subset_size = int(gateways_.size());
    open_[request.id] = {std::size_t(customer), units};
    requested_units_ += units;
    // Skewed: some gateways receive several times the mean number of requests.
    const auto gateway = std::size_t(std::pow(random_fraction(), 1.5) * double(gateways_.size()));
    perform(gateway, now, gateways_[gateway].run_timers(now));
    perform(gateway, now, gateways_[gateway].handle(now, {request}));
  }

  void deliver_replies(Micros until) {
    while (!replies_.empty() && replies_.begin()->first <= until) {
      const auto [replied_at, reply] = *replies_.begin();
      replies_.erase(replies_.begin());
      perform(reply.first, replied_at, gateways_[reply.first].handle(replied_at, {reply.second}));
    }
  }

  void perform(std::size_t gateway, Micros now, const std::vector<Action>& actions) {
    for (const Reject& rejection : rejections(actions)) {
      record(now, rejection.id, false);
    }
    for (const SendAttempt& attempt : attempts(actions)) {
      record(now, attempt.id, true);
      perform(gateway, now, gateways_[gateway].complete(now, attempt));
    }
    for (const AddToCounter& call : counter_calls(actions)) {
      serve_call(gateway, now, call);
    }
  }

  void serve_call(std::size_t gateway, Micros now, const AddToCounter& call) {
    ++calls_;
    counter_idle_at_ = std::max(counter_idle_at_, double(now)) + service_time_ * kSecond;
    const Micros duration = Micros(counter_idle_at_) - now + kMillisecond / 2;
    double& total = totals_[call.key];
    total += call.amount;
    const CounterReply reply = duration > kCounterTimeout
                                   ? make_counter_timeout(call, kCounterTimeout)
                                   : make_counter_reply(call, total, duration);
    replies_.emplace(now + reply.duration, std::pair(gateway, reply));
  }

  // Compares the gateway's decision with the customer's exact quota.
  void record(Micros now, const std::string& id, bool forwarded) {
    const OpenRequest& request = open_.at(id);
    ExactQuota& quota = quotas_[request.customer];
    const double refilled = kRate * double(now - quota.refilled_at) / kSecond;
    quota.units = std::min(kBurst, quota.units + refilled);
    quota.refilled_at = now;
    const bool within_quota = quota.units >= request.units;
    if (forwarded && within_quota) {
      quota.units -= request.units;
      within_quota_ += request.units;
    } else if (forwarded) {
      beyond_quota_ += request.units;
    } else if (within_quota) {
      rejected_within_ += request.units;
    }
  }

  double request_interval_;  // s, mean over all customers
  double service_time_;      // s, of a call to the counter
  std::vector<GatewayHarness> gateways_;
  std::vector<ExactQuota> quotas_;  // by customer
  std::map<std::string, OpenRequest> open_;
  std::map<std::int64_t, double> totals_;                                // by counter key
  std::multimap<Micros, std::pair<std::size_t, CounterReply>> replies_;  // by delivery time
  std::uint64_t random_ = 1;
  double counter_idle_at_ = 0;  // us
  double requested_units_ = 0;
  double within_quota_ = 0;     // units forwarded within the quotas
  double beyond_quota_ = 0;     // units forwarded beyond the quotas
  double rejected_within_ = 0;  // units rejected within the quotas
  int requests_ = 0;
  int calls_ = 0;
};

TEST(QuotaAllocator, EnforcementErrorDoesNotGrowWithHundredsOfGateways) {
  std::printf(
      "gateways  requested / quota  beyond / forwarded  rejected within / requested  "
      "used / allowed  calls / request\n");
  for (const double load : {0.7, 2.0, 4.0}) {
    double beyond_with_ten = 0;
    for (const int gateway_count : {3, 10, 30, 100, 300}) {
      const auto result = QuotaErrorTrial(gateway_count, load, 1.2).run();
      std::printf("%8d %18.1f %19.3f %28.3f %15.3f %16.2f\n", gateway_count, load,
                  result.beyond_quota, result.rejected_within, result.used, result.calls);
      if (gateway_count == 10) {
        beyond_with_ten = result.beyond_quota;
      }
      if (gateway_count <= 10) {
        continue;
      }
      EXPECT_LE(result.beyond_quota, beyond_with_ten + 0.01)
          << gateway_count << " gateways, " << load << " times the quota";
      EXPECT_GE(result.used, 0.85) << gateway_count << " gateways, " << load << " times the quota";
    }
  }
}

}  // namespace
}  // namespace quota_gateway::testing
