// Tests requests that the gateway holds until a server has capacity.
#include <gtest/gtest.h>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

// Sends `count` requests that arrive together at 1 ms and returns the attempts of those forwarded;
// the other requests are held or rejected.
std::vector<SendAttempt> send_burst(GatewayHarness& gateway, int count) {
  std::vector<SendAttempt> sent;
  for (int i = 0; i < count; ++i) {
    for (const SendAttempt& attempt :
         attempts(gateway.receive_request(kMillisecond, prefixed_number("r", i)))) {
      sent.push_back(attempt);
    }
  }
  return sent;
}

TEST(HoldQueue, RequestIsRejectedInTimeWhileNoServerIsListed) {
  GatewayHarness gateway(basic_settings(), {});
  auto actions = gateway.receive_request(kMillisecond, "r");
  append(actions, gateway.run_timers(2 * kSecond));
  EXPECT_EQ(rejections(actions).size(), 1U);
  EXPECT_TRUE(failures(actions).empty());
}

TEST(HoldQueue, RequestNeverForwardedUsesNoQuota) {
  GatewayHarness gateway(basic_settings(), make_endpoints({"a"}));
  const auto sent = send_burst(gateway, 12);
  gateway.run_timers(400 * kMillisecond);
  // The requests that were not sent, because the server had no capacity left.
  const std::size_t rejected = rejections(gateway.actions()).size();
  ASSERT_EQ(sent.size() + rejected, 12U);
  ASSERT_GT(rejected, 6U);
  for (const SendAttempt& attempt : sent) {
    gateway.complete(401 * kMillisecond, attempt);
  }
  // Only the requests that were sent have used units of the burst of 20.
  EXPECT_GE(gateway.count_admitted(402 * kMillisecond, 20), 20 - int(sent.size()));
}

TEST(HoldQueue, NewArrivalsDoNotOvertakeHeldRequestsOfHigherPriority) {
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

  // Capacity becomes available in the same batch in which a request of lower priority arrives.
  std::vector<Event> events;
  events.reserve(sent.size() + 1);
  for (const SendAttempt& attempt : sent) {
    events.emplace_back(make_completion(attempt, {.duration = 80 * kMillisecond}));
  }
  events.emplace_back(make_request("cheap", 3 * kMillisecond));
  const auto next = attempts(gateway.handle(3 * kMillisecond, events));
  ASSERT_FALSE(next.empty());
  EXPECT_EQ(next[0].id, "priority");
}

}  // namespace
}  // namespace quota_gateway::testing
