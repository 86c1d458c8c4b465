// Requests that wait in the gateway for a server's capacity.
#include <gtest/gtest.h>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

// The attempts of `count` requests that arrive together at 1 ms; the other requests wait or were
// rejected.
std::vector<SendAttempt> send_burst(GatewayHarness& gateway, int count) {
  std::vector<SendAttempt> sent;
  for (int i = 0; i < count; ++i) {
    for (const SendAttempt& attempt : attempts(gateway.arrive(kMillisecond, numbered("r", i)))) {
      sent.push_back(attempt);
    }
  }
  return sent;
}

TEST(HoldQueue, RequestIsRejectedInTimeWhileNoServerIsListed) {
  GatewayHarness gateway(basic_settings(), {});
  auto actions = gateway.arrive(kMillisecond, "r");
  append(actions, gateway.run_timers(2 * kSecond));
  EXPECT_EQ(rejections(actions).size(), 1U);
  EXPECT_TRUE(failures(actions).empty());
}

TEST(HoldQueue, RequestThatWasNeverForwardedSpendsNoQuota) {
  GatewayHarness gateway(basic_settings(), make_endpoints({"a"}));
  const auto sent = send_burst(gateway, 12);
  gateway.run_timers(400 * kMillisecond);
  const std::size_t rejected =
      rejections(gateway.actions()).size();  // the server's capacity is used
  ASSERT_EQ(sent.size() + rejected, 12U);
  ASSERT_GT(rejected, 6U);
  for (const SendAttempt& attempt : sent) {
    gateway.complete(401 * kMillisecond, attempt);
  }
  EXPECT_GE(gateway.admitted(402 * kMillisecond, 20), 20 - int(sent.size()));  // of the twenty
}

TEST(HoldQueue, NewArrivalsDoNotOvertakeWaitingRequestsOfHigherPriority) {
  Settings settings = basic_settings();
  ClassSettings priority = read_class();
  priority.name = "priority";
  priority.priority_weight = 10;
  settings.classes.push_back(priority);
  GatewayHarness gateway(settings, make_endpoints({"a"}));
  const auto sent = send_burst(gateway, 6);
  ASSERT_LT(sent.size(), 6U);
  RequestArrived waiting = make_request("priority", 2 * kMillisecond);
  waiting.request_class = "priority";
  ASSERT_TRUE(attempts(gateway.handle(2 * kMillisecond, {waiting})).empty());

  // Capacity is free again in the same batch in which a request of lower priority arrives.
  std::vector<Event> events;
  events.reserve(sent.size() + 1);
  for (const SendAttempt& attempt : sent) {
    events.emplace_back(complete_attempt(attempt, {.duration = 80 * kMillisecond}));
  }
  events.emplace_back(make_request("cheap", 3 * kMillisecond));
  const auto next = attempts(gateway.handle(3 * kMillisecond, events));
  ASSERT_FALSE(next.empty());
  EXPECT_EQ(next[0].id, "priority");
}

}  // namespace
}  // namespace quota_gateway::testing
