// Tests parse_config(): default values and the validation of a configuration file.
#include "net/config/config_parser.hpp"

#include <gtest/gtest.h>

#include "net/config/config_error.hpp"

namespace quota_gateway::net::testing {
namespace {

using nlohmann::json;

json valid_config() {
  return json::parse(R"({
    "name": "n0",
    "listen": "127.0.0.1:8080",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f30d27a5be964",
    "settings": {
      "ReplicasOfMe": 3,
      "Position": 2,
      "Classes": [{"Name": "read", "ObjectiveUs": 300000, "GiveUpUs": 4000000}],
      "TiersOfService": [{"Name": "plan", "QuotaRate": 900, "Depth": 900}],
      "Limits": {"MaxAttempts": 4}
    }
  })");
}

// Sets one value in a valid configuration. Returns the key of the ConfigError, or "accepted".
std::string rejected_key(const std::string& pointer, const json& value) {
  json config = valid_config();
  config[json::json_pointer(pointer)] = value;
  try {
    parse_config(config);
  } catch (const ConfigError& e) {
    return e.key();
  }
  return "accepted";
}

TEST(ConfigParser, MissingKeysHaveDefaults) {
  const GatewayConfig config = parse_config(valid_config());
  EXPECT_EQ(config.name, "n0");
  EXPECT_EQ(config.listen_address.port(), 8080);
  EXPECT_EQ(config.discovery_address.port(), 8500);
  EXPECT_FALSE(config.counter_address);
  EXPECT_FALSE(config.admin_address);
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(config.max_sockets, 1024U);
  EXPECT_EQ(config.memory_limit_mb, 192U);
  EXPECT_EQ(config.connection_idle_timeout, 15'000'000);
  EXPECT_EQ(config.connect_timeout, 250'000);
  EXPECT_EQ(config.max_discovery_backoff, 0);
  EXPECT_EQ(config.settings.classes.size(), 1U);
}

TEST(ConfigParser, ReadsOptionalAddressesAndLimits) {
  json file = valid_config();
  file["counter"] = "127.0.0.1:6379";
  file["mgmt"] = "127.0.0.1:9090";
  file["limits"] = {{"sockets", 64}, {"memory_mb", 32}};
  file["settings"]["Limits"]["ConnIdleUs"] = 5;
  file["settings"]["Limits"]["DialTimeoutUs"] = 6;
  const GatewayConfig config = parse_config(file);
  EXPECT_EQ(config.counter_address.value().port(), 6379);
  EXPECT_EQ(config.admin_address.value().port(), 9090);
  EXPECT_EQ(config.max_sockets, 64U);
  EXPECT_EQ(config.memory_limit_mb, 32U);
  EXPECT_EQ(config.connection_idle_timeout, 5);
  EXPECT_EQ(config.connect_timeout, 6);
}

TEST(ConfigParser, TwoPollsFitIntoTheTimeForWhichAListIsValid) {
  // A list is valid for four poll intervals of 10 s, and the backoff is at most 0.4 times that.
  json file = valid_config();
  file["settings"]["Obligations"]["AskWithinUs"] = 10'000'000;
  EXPECT_EQ(parse_config(file).max_discovery_backoff, 0);
  file["settings"]["MembershipMode"] = "on_request";
  EXPECT_EQ(parse_config(file).max_discovery_backoff, 16'000'000);
}

TEST(ConfigParser, AnErrorNamesTheKey) {
  EXPECT_EQ(rejected_key("/name", 1), "name");
  EXPECT_EQ(rejected_key("/listen", nullptr), "listen");
  EXPECT_EQ(rejected_key("/seed", "xyz"), "seed");
  EXPECT_EQ(rejected_key("/limits", {{"sockets", 63}}), "limits.sockets");
  EXPECT_EQ(rejected_key("/limits", {{"memory_mb", 0}}), "limits.memory_mb");
  EXPECT_EQ(rejected_key("/settings/Position", 3), "settings.Position");
  EXPECT_EQ(rejected_key("/settings/Limits/MaxAttempts", 0), "settings.Limits.MaxAttempts");
  EXPECT_EQ(rejected_key("/settings/Limits/ConnIdleUs", 0), "settings.Limits.ConnIdleUs");
  EXPECT_EQ(rejected_key("/settings/Limits/DialTimeoutUs", -1), "settings.Limits.DialTimeoutUs");
  EXPECT_EQ(rejected_key("/settings/Classes", json::array()), "settings.Classes");
  EXPECT_EQ(rejected_key("/settings/Classes/0/Name", ""), "settings.Classes ''");
  EXPECT_EQ(rejected_key("/settings/Classes/0/GiveUpUs", 0), "settings.Classes 'read'");
  EXPECT_EQ(rejected_key("/settings/Classes/0/ObjectiveUs", 0), "settings.Classes 'read'");
  EXPECT_EQ(rejected_key("/settings/TiersOfService/0/QuotaRate", -1),
            "settings.TiersOfService 'plan'");
}

TEST(ConfigParser, ThrowsWithoutSettingsOrWithAnInvalidAddress) {
  json file = valid_config();
  file.erase("settings");
  EXPECT_THROW(parse_config(file), ConfigError);
  EXPECT_THROW(parse_config(json::array()), ConfigError);
  file = valid_config();
  file["discovery"] = "nowhere";
  EXPECT_ANY_THROW(parse_config(file));
}

}  // namespace
}  // namespace quota_gateway::net::testing
