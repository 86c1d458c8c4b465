// Whether a request is forwarded at all, apart from its customer's quota.
#include <gtest/gtest.h>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(Admission, RequestSeenOnlyAtItsDeadlineIsRejectedAtOnce) {
  GatewayHarness gateway(settings_with_counter());
  RequestArrived request = make_request("r", kSecond);
  request.deadline = kSecond;  // the gateway's process was stalled meanwhile
  const auto actions = gateway.handle(kSecond, {request});
  EXPECT_EQ(rejections(actions).size(), 1U);
  EXPECT_TRUE(attempts(actions).empty());
}

TEST(Admission, ElevenGatewaysDoNotEachAdmitAConcurrentAttempt) {
  // Without this, a customer allowed two concurrent attempts would have eleven.
  Settings settings = basic_settings();
  settings.gateway_count = 11;
  set_quota(settings, 0, 0);
  settings.plans[0].max_concurrent_attempts = 2;
  int forwarded = 0;
  for (int index = 0; index < 11; ++index) {
    settings.gateway_index = index;
    GatewayHarness gateway(settings);
    for (int i = 0; i < 400; ++i) {  // heavy demand everywhere
      RequestArrived request = make_request(numbered("x", i), i * kMillisecond);
      request.gateway_subset_size = 11;
      forwarded += int(attempts(gateway.handle(i * kMillisecond, {request})).size());
    }
  }
  EXPECT_LE(forwarded, 11 * 2);  // never more than the limit in one gateway
}

}  // namespace
}  // namespace quota_gateway::testing
