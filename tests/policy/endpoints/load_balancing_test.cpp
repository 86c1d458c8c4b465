// Tests of load balancing through the actions of a gateway. load_balancer_test.cpp tests the class
// LoadBalancer.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(LoadBalancing, DrainingAndRemovedServersGetNoRequests) {
  GatewayHarness gateway;
  auto entries = make_endpoints({"a", "b"});
  entries[0].state = EndpointState::kDraining;
  entries[1].state = EndpointState::kRemoved;
  gateway.handle(kMillisecond, {partial_update(entries)});
  for (int i = 0; i < 5; ++i) {
    for (const SendAttempt& attempt :
         attempts(gateway.receive_request(2 * kMillisecond, prefixed_number("r", i)))) {
      EXPECT_EQ(attempt.server, "c");
    }
  }
}

TEST(LoadBalancing, FastErrorsDoNotAttractRequests) {
  // Guards against a faulty server, which serves only one request in five, appearing to be the
  // fastest because it fails quickly.
  Settings settings = basic_settings();
  set_quota(settings, 1000, 1000);
  GatewayHarness gateway(settings);
  std::map<std::string, int> attempts_at;
  for (int i = 0; i < 400; ++i) {
    Micros completes_after = 0;
    gateway.serve_request(
        i * 40 * kMillisecond, prefixed_number("r", i), [&](const std::string& server) {
          ++attempts_at[server];
          ++completes_after;
          const bool fails = server == "a" && attempts_at["a"] % 5 != 0;
          return ServerResponse{.outcome = fails ? Outcome::kError : Outcome::kOk,
                                .duration = fails ? kMillisecond : 20 * kMillisecond,
                                .completes_after = completes_after};
        });
  }
  EXPECT_LT(attempts_at["a"], 60);
  EXPECT_GT(attempts_at["b"] + attempts_at["c"], 300);
}

TEST(LoadBalancing, OverloadOfOnePlanIsRetriedElsewhereAndDoesNotLowerTheLimit) {
  Settings settings = basic_settings();
  set_quota(settings, 1000, 1000);
  GatewayHarness gateway(settings);
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    Micros completes_after = 0;
    gateway.serve_request(
        i * 50 * kMillisecond, prefixed_number("r", i), [&](const std::string& server) {
          ++completes_after;
          const bool overloaded = server != "c";  // a and b reject the plan
          if (!overloaded) {
            ++served;
          }
          return ServerResponse{.outcome = overloaded ? Outcome::kOverloaded : Outcome::kOk,
                                .completes_after = completes_after};
        });
  }
  EXPECT_EQ(served, 100);
}

// Serves requests until each of `server_count` servers has reported its load. Server a reports that
// it is nearly idle, the others do not.
void collect_load_reports(GatewayHarness& gateway, std::size_t server_count) {
  std::set<std::string> reported;
  for (int i = 0; i < 100 && reported.size() < server_count; ++i) {
    const Micros now = kSecond + i * kMillisecond;
    const auto sent = attempts(gateway.receive_request(now, prefixed_number("r", i)));
    if (sent.empty()) {
      continue;
    }
    AttemptCompleted completed = make_completion(sent[0]);
    completed.load.in_flight = completed.server == "a" ? 1 : 4;
    reported.insert(completed.server);
    gateway.handle(now, {completed});
  }
}

TEST(LoadBalancing, ManyGatewaysWithTheSameLoadReportsDoNotAllPickOneServer) {
  Settings settings = settings_with_unlimited_quota();
  settings.gateway_count = 300;
  std::map<std::string, int> picked;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    GatewayHarness gateway(settings, make_endpoints({"a", "b", "c", "d"}), seed);
    collect_load_reports(gateway, 4);
    for (const SendAttempt& attempt :
         attempts(gateway.receive_request(1200 * kMillisecond, "last"))) {
      ++picked[attempt.server];
    }
  }
  EXPECT_GT(picked["a"], 15);
  EXPECT_LT(picked["a"], 45);
}

TEST(LoadBalancing, PausesOfTheGatewayDoNotCountAsSlowServers) {
  GatewayHarness gateway(settings_with_unlimited_quota());
  Micros now = kSecond;
  std::size_t forwarded = 0;
  for (int i = 0; i < 200; ++i) {
    const auto sent = attempts(gateway.receive_request(now, prefixed_number("r", i)));
    forwarded += sent.size();
    // The gateway processes every second response a second late, although it took only 10 ms.
    for (const SendAttempt& attempt : sent) {
      if (i % 2 == 1) {
        now += kSecond;
      }
      gateway.complete(now, attempt, {.duration = 10 * kMillisecond});
    }
    now += 20 * kMillisecond;
  }
  EXPECT_EQ(forwarded, 200U);
}

}  // namespace
}  // namespace quota_gateway::testing
