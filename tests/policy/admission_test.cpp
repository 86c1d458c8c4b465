// Tests the admission rules besides the rate quota: the deadline of a request and the limit on
// concurrent attempts.
#include <gtest/gtest.h>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(Admission, RequestReadAtItsDeadlineIsRejectedImmediately) {
  GatewayHarness gateway(settings_with_counter());
  RequestArrived request = make_request("r", kSecond);
  request.deadline = kSecond;  // the gateway process was suspended until then
  const auto actions = gateway.handle(kSecond, {request});
  EXPECT_EQ(rejections(actions).size(), 1U);
  EXPECT_TRUE(attempts(actions).empty());
}

TEST(Admission, EachOfElevenGatewaysKeepsTheConcurrencyLimit) {
  // A customer that is allowed two concurrent attempts would have eleven if each gateway admitted
  // one. The bound checked here is looser: two per gateway.
  Settings settings = basic_settings();
  settings.gateway_count = 11;
  set_quota(settings, 0, 0);
  settings.plans[0].max_concurrent_attempts = 2;
  int forwarded = 0;
  for (int index = 0; index < 11; ++index) {
    settings.gateway_index = index;
    GatewayHarness gateway(settings);
    for (int i = 0; i < 400; ++i) {  // more demand than the limit at every gateway
      RequestArrived request = make_request(prefixed_number("x", i), i * kMillisecond);
      request.gateway_subset_size = 11;
      forwarded += int(attempts(gateway.handle(i * kMillisecond, {request})).size());
    }
  }
  EXPECT_LE(forwarded, 11 * 2);  // at most the limit at each gateway
}

}  // namespace
}  // namespace quota_gateway::testing
