// Tests of the configuration of a measured gateway process and of the requests to it.
#include "process/gateway_config.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "process/read_request.hpp"

namespace quota_gateway::scale {
namespace {

using nlohmann::json;

json parsed_config(const GatewayConfigOptions& options) {
  return json::parse(render_gateway_config(options, "127.0.0.1:8080"));
}

TEST(GatewayConfig, ContainsAddressesAndGatewayCount) {
  GatewayConfigOptions options;
  options.discovery_address = "127.0.0.1:1";
  options.counter_address = "127.0.0.1:2";
  options.gateway_count = 7'400;
  const json config = parsed_config(options);
  EXPECT_EQ(config["listen"], "127.0.0.1:8080");
  EXPECT_EQ(config["discovery"], "127.0.0.1:1");
  EXPECT_EQ(config["counter"], "127.0.0.1:2");
  EXPECT_EQ(config["settings"]["ReplicasOfMe"], 7'400);
  EXPECT_EQ(config["settings"]["Extra"]["SharedCounter"], true);
}

TEST(GatewayConfig, OmitsCounterAndKnownListThatAreNotGiven) {
  const json config = parsed_config({});
  EXPECT_FALSE(config.contains("counter"));
  EXPECT_FALSE(config.contains("known"));
  EXPECT_EQ(config["settings"]["Extra"]["SharedCounter"], false);
}

TEST(GatewayConfig, ContainsTheKnownListUnchanged) {
  GatewayConfigOptions options;
  options.known_list = R"({"revision":3})";
  EXPECT_EQ(parsed_config(options)["known"]["revision"], 3);
}

TEST(GatewayConfig, OnlyTheLastClassHasTheChangedObjective) {
  GatewayConfigOptions options;
  options.class_count = 3;
  options.last_class_objective = 3'001'000;
  const json classes = parsed_config(options)["settings"]["Classes"];
  ASSERT_EQ(classes.size(), 3U);
  EXPECT_EQ(classes[0]["Name"], "read");
  EXPECT_EQ(classes[1]["Name"], "route-1");
  EXPECT_EQ(classes[1]["ObjectiveUs"], 3'000'000);
  EXPECT_EQ(classes[2]["ObjectiveUs"], 3'001'000);
}

TEST(ReadRequest, HasTheHeadersThatAGatewayRequires) {
  ReadRequest request;
  request.customer = 0x2a;
  request.trace_id = 0x10;
  request.expires_in_ms = 300;
  EXPECT_EQ(render(request),
            "GET /read/000000000000002a HTTP/1.1\r\nHost: origin.svc\r\n"
            "X-Trace-Id: 0000000000000010\r\nPlan: plan\r\nX-Expires-In: 300m\r\n"
            "Quota-Info: units=1,spread=1,first=0\r\n\r\n");
}

}  // namespace
}  // namespace quota_gateway::scale
