// Servers that fail more than the others are ejected.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

// Serves one request of a steady 50 a second; `outcome_of(server)` ends its attempts, each after 10
// to 30 ms.
template <typename OutcomeOf>
void serve_steadily(GatewayHarness& gateway, int number, const OutcomeOf& outcome_of) {
  const Micros duration = (10 + number * 7 % 21) * kMillisecond;
  gateway.serve(number * 20 * kMillisecond, numbered("r", number), [&](const std::string& server) {
    return ServerResponse{.outcome = outcome_of(server), .duration = duration};
  });
}

TEST(OutlierDetector, ResponsesAbortedInARowEject) {
  GatewayHarness gateway(basic_settings(), make_endpoints({"a", "b"}));
  gateway.arrive(kMillisecond, "r");
  for (int i = 0; i < 3; ++i) {
    gateway.handle(2 * kMillisecond, {ResponseAborted{"a"}});
  }
  for (int i = 0; i < 8; ++i) {
    for (const SendAttempt& attempt :
         attempts(gateway.arrive(3 * kMillisecond, numbered("s", i)))) {
      EXPECT_EQ(attempt.server, "b");
      gateway.complete(4 * kMillisecond, attempt);
    }
  }
}

TEST(OutlierDetector, TwoFailuresEjectWhereFailuresAreRare) {
  // Without this, each of a hundred gateways would need a third failure in a row to find a faulty
  // server.
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
  // One attempt in twenty fails at any server, later all attempts do at all servers.
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

TEST(OutlierDetector, FailuresInARowEject) {
  GatewayHarness gateway;
  std::set<std::string> used_later;
  for (int i = 0; i < 30; ++i) {
    gateway.serve(i * 20 * kMillisecond, numbered("r", i), [&](const std::string& server) {
      if (i >= 20) {
        used_later.insert(server);
      }
      return ServerResponse{.outcome = server == "a" ? Outcome::kConnectFailed : Outcome::kOk,
                            .completes_after = 1};
    });
  }
  EXPECT_FALSE(used_later.contains("a"));
}

}  // namespace
}  // namespace quota_gateway::testing
