// The health check response in each state of the gateway.
#include "net/client/health_check.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net {
namespace {

TEST(HealthCheck, OnlyAServingGatewayIsHealthy) {
  const ClientResponse serving = health_response(ServingState::kServing);
  EXPECT_EQ(serving.status, 200);
  EXPECT_EQ(serving.body, "ok\n");

  const ClientResponse starting = health_response(ServingState::kStarting);
  EXPECT_EQ(starting.status, 503);
  EXPECT_EQ(starting.body, "starting\n");

  const ClientResponse draining = health_response(ServingState::kDraining);
  EXPECT_EQ(draining.status, 503);
  EXPECT_EQ(draining.body, "draining\n");
}

}  // namespace
}  // namespace quota_gateway::net
