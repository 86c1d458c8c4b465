// Tests new settings while requests are open: an open request keeps the class with which it
// arrived, later requests use the new settings, and spent quota stays spent.
#include <gtest/gtest.h>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

Settings settings_with(Idempotency idempotency, int max_attempts) {
  Settings settings = basic_settings();
  settings.classes[0].idempotency = idempotency;
  settings.max_attempts = max_attempts;
  return settings;
}

// The actions of the gateway when the first attempt of a request is reset, after the settings
// changed from `before` to `after` while the request was open.
std::vector<Action> reset_after_change(const Settings& before, const Settings& after) {
  GatewayHarness gateway(before);
  const auto sent = attempts(gateway.receive_request(kMillisecond, "r"));
  EXPECT_EQ(sent.size(), 1U);
  gateway.handle(2 * kMillisecond, {SettingsChanged{after}});
  return gateway.complete(3 * kMillisecond, sent.at(0), {.outcome = Outcome::kReset});
}

TEST(SettingsChange, OpenRequestKeepsTheIdempotencyItArrivedWith) {
  const Settings idempotent = settings_with(Idempotency::kIdempotent, 3);
  const Settings non_idempotent = settings_with(Idempotency::kNonIdempotent, 3);
  EXPECT_EQ(attempts(reset_after_change(idempotent, non_idempotent)).size(), 1U);
  const auto actions = reset_after_change(non_idempotent, idempotent);
  EXPECT_TRUE(attempts(actions).empty());
  EXPECT_EQ(failures(actions).size(), 1U);
}

TEST(SettingsChange, LaterRequestsUseTheNewIdempotency) {
  GatewayHarness gateway(settings_with(Idempotency::kIdempotent, 3));
  gateway.handle(kMillisecond, {SettingsChanged{settings_with(Idempotency::kNonIdempotent, 3)}});
  const auto sent = attempts(gateway.receive_request(2 * kMillisecond, "r"));
  ASSERT_EQ(sent.size(), 1U);
  const auto actions = gateway.complete(3 * kMillisecond, sent[0], {.outcome = Outcome::kReset});
  EXPECT_EQ(failures(actions).size(), 1U);
}

TEST(SettingsChange, OpenRequestKeepsAClassThatIsRemoved) {
  Settings removed = basic_settings();
  removed.classes[0].name = "other";
  EXPECT_EQ(attempts(reset_after_change(basic_settings(), removed)).size(), 1U);
}

TEST(SettingsChange, LowerAttemptLimitAppliesToOpenRequestsHigherOneDoesNot) {
  const Settings one_attempt = settings_with(Idempotency::kIdempotent, 1);
  const Settings three_attempts = settings_with(Idempotency::kIdempotent, 3);
  EXPECT_TRUE(attempts(reset_after_change(three_attempts, one_attempt)).empty());
  EXPECT_TRUE(attempts(reset_after_change(one_attempt, three_attempts)).empty());
}

TEST(SettingsChange, SpentQuotaStaysSpent) {
  GatewayHarness gateway;
  EXPECT_EQ(gateway.count_admitted(kMillisecond, 30), 20);
  gateway.handle(2 * kMillisecond, {SettingsChanged{settings_with(Idempotency::kIdempotent, 2)}});
  EXPECT_EQ(gateway.count_admitted(3 * kMillisecond, 5), 0);
  Settings smaller_quota = basic_settings();
  set_quota(smaller_quota, 2, 4);
  gateway.handle(10 * kSecond, {SettingsChanged{smaller_quota}});
  EXPECT_EQ(gateway.count_admitted(10 * kSecond + kMillisecond, 10), 4);
}

}  // namespace
}  // namespace quota_gateway::testing
