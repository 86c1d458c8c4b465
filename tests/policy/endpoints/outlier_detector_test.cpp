// Tests that servers that fail more often than the others are ejected.
#include "policy/endpoints/outlier_detector.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "quota_gateway/gateway.hpp"
#include "support/endpoint_lists.hpp"
#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

using policy::Endpoint;
using policy::OutlierDetector;

// Serves request number `number` of a steady 50 per second. `outcome_of(server)` determines the
// outcome of each attempt, which takes 10 to 30 ms.
template <typename OutcomeOf>
void serve_steadily(GatewayHarness& gateway, int number, const OutcomeOf& outcome_of) {
  const Micros duration = (10 + number * 7 % 21) * kMillisecond;
  gateway.serve_request(
      number * 20 * kMillisecond, prefixed_number("r", number), [&](const std::string& server) {
        return ServerResponse{.outcome = outcome_of(server), .duration = duration};
      });
}

TEST(OutlierDetector, ConsecutiveAbortedResponsesEjectAServer) {
  GatewayHarness gateway(basic_settings(), make_endpoints({"a", "b"}));
  gateway.receive_request(kMillisecond, "r");
  for (int i = 0; i < 3; ++i) {
    gateway.handle(2 * kMillisecond, {ResponseAborted{"a"}});
  }
  for (int i = 0; i < 8; ++i) {
    for (const SendAttempt& attempt :
         attempts(gateway.receive_request(3 * kMillisecond, prefixed_number("s", i)))) {
      EXPECT_EQ(attempt.server, "b");
      gateway.complete(4 * kMillisecond, attempt);
    }
  }
}

TEST(OutlierDetector, TwoFailuresEjectAServerIfFailuresAreRare) {
  // Guards against each of a hundred gateways needing a third consecutive failure to detect a
  // faulty server.
  GatewayHarness gateway(settings_with_unlimited_quota(),
                         make_endpoints({"a", "b", "c", "d", "e", "f"}));
  int attempts_at_faulty = 0;
  std::string faulty;  // the server of the first attempt after the hundredth request
  for (int i = 0; i < 240; ++i) {
    serve_steadily(gateway, i, [&](const std::string& server) {
      if (i > 100 && faulty.empty()) {
        faulty = server;
      }
      if (server != faulty) {
        return Outcome::kOk;
      }
      ++attempts_at_faulty;
      return Outcome::kError;
    });
  }
  EXPECT_EQ(attempts_at_faulty, 2);
}

TEST(OutlierDetector, RandomFailuresOrAFaultOfAllServersEjectOnlyAFew) {
  // First, one attempt in twenty fails at random, at any server. Later, all attempts fail.
  GatewayHarness gateway(settings_with_unlimited_quota(),
                         make_endpoints({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}));
  struct Usage {
    std::set<std::string> servers;
    int attempts = 0;
  };
  Usage with_random_failures;
  Usage with_all_failing;
  int attempts_ended_at_random = 0;
  for (int i = 0; i < 600; ++i) {
    const bool all_fail = i >= 400;
    const bool settled = i % 200 >= 100;
    Usage& usage = all_fail ? with_all_failing : with_random_failures;
    serve_steadily(gateway, i, [&](const std::string& server) {
      if (settled) {
        usage.servers.insert(server);
        ++usage.attempts;
      }
      const bool fails = all_fail || (++attempts_ended_at_random * 7919) % 20 == 0;
      return fails ? Outcome::kError : Outcome::kOk;
    });
  }
  EXPECT_GE(with_random_failures.servers.size(), 7U);  // at most a third may be ejected
  EXPECT_GE(with_random_failures.attempts, 200);
  EXPECT_GE(with_all_failing.servers.size(), 6U);
  EXPECT_GE(with_all_failing.attempts, 100);
}

TEST(OutlierDetector, ConsecutiveFailuresEjectAServer) {
  GatewayHarness gateway;
  std::set<std::string> used_later;
  for (int i = 0; i < 30; ++i) {
    gateway.serve_request(
        i * 20 * kMillisecond, prefixed_number("r", i), [&](const std::string& server) {
          if (i >= 20) {
            used_later.insert(server);
          }
          return ServerResponse{.outcome = server == "a" ? Outcome::kConnectFailed : Outcome::kOk,
                                .completes_after = 1};
        });
  }
  EXPECT_FALSE(used_later.contains("a"));
}

TEST(OutlierDetector, EjectionIsFollowedByATrialThatEndsWithASuccess) {
  OutlierDetector detector;
  Endpoint endpoint;
  endpoint.is_up = true;
  EXPECT_FALSE(detector.on_failure(0, endpoint));
  EXPECT_TRUE(detector.on_failure(0, endpoint));  // two are enough if failures are rare
  EXPECT_TRUE(endpoint.outlier.ejected);
  EXPECT_EQ(detector.ejected_count(), 1);
  EXPECT_EQ(detector.on_trial_count(), 1);
  EXPECT_FALSE(detector.end_expired_ejections(2'999 * kMillisecond));
  EXPECT_TRUE(detector.end_expired_ejections(3 * kSecond));
  EXPECT_FALSE(endpoint.outlier.ejected);
  EXPECT_TRUE(endpoint.outlier.on_trial);
  EXPECT_EQ(detector.ejected_count(), 0);
  EXPECT_EQ(detector.on_trial_count(), 1);
  EXPECT_TRUE(detector.on_success(endpoint));
  EXPECT_FALSE(detector.on_success(endpoint));
  EXPECT_EQ(detector.on_trial_count(), 0);
}

TEST(OutlierDetector, RestartClearsTheEjectionAndItsEvidence) {
  OutlierDetector detector;
  Endpoint endpoint;
  endpoint.is_up = true;
  while (!detector.on_failure(0, endpoint)) {
  }
  detector.on_restart(endpoint);
  EXPECT_EQ(detector.ejected_count(), 0);
  EXPECT_EQ(detector.on_trial_count(), 0);
  EXPECT_EQ(endpoint.outlier.log_odds_faulty, 0);
  EXPECT_FALSE(detector.end_expired_ejections(4 * kSecond));
}

// Guards against the end of an ejection accessing a deleted endpoint, which a build with sanitizers
// detects. The endpoint is removed and unused for a minute before its ejection, so that its state
// is about to be deleted.
TEST(OutlierDetector, EndpointEjectedLateIsKeptUntilTheEjectionEnds) {
  Gateway gateway(fleet_settings(1), 1);
  std::vector<Action> actions;
  gateway.handle(0, {complete_list(fleet_endpoints(0, 3))}, actions);
  const std::string server = fleet_endpoint(0).server;
  EndpointEntry removed;
  removed.server = server;
  removed.state = EndpointState::kRemoved;
  gateway.handle(2 * kMillisecond, {TimerFired{0}}, actions);  // marks all three as in use
  gateway.handle(3 * kMillisecond, {partial_update({removed})}, actions);
  for (int second = 1; second < 64; ++second) {
    gateway.handle(second * kSecond, {TimerFired{0}}, actions);
  }
  actions.clear();
  gateway.handle(63 * kSecond + 500 * kMillisecond,
                 {ResponseAborted{server}, ResponseAborted{server}, ResponseAborted{server}},
                 actions);
  const auto lines = actions_of<LogLine>(actions);
  ASSERT_TRUE(std::any_of(lines.begin(), lines.end(), [](const LogLine& line) {
    return line.text.find("ejected") != std::string::npos;
  }));
  for (int second = 64; second < 70; ++second) {
    gateway.handle(second * kSecond, {TimerFired{0}}, actions);
  }
  EXPECT_EQ(gateway.unavailable_endpoints(), 0);
}

}  // namespace
}  // namespace quota_gateway::testing
