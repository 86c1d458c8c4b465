#include "net/config/config_parser.hpp"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <system_error>

#include "net/config/config_error.hpp"
#include "net/discovery/socket_address.hpp"
#include "settings/settings_parser.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

constexpr int kHexadecimal = 16;
constexpr std::size_t kMinSockets = 64;
constexpr std::size_t kMaxCustomersPerMegabyte = 128;

// Where endpoint lists are polled, a list stays valid for this many intervals of `AskWithinUs`
// after a failed poll.
constexpr double kListValidityIntervals = 4;
// Longest pause between polls as a fraction of that validity time. Two polls fit into it.
constexpr double kMaxBackoffFraction = 0.4;

std::string string_value(const json& tree, const std::string& key) {
  const auto it = tree.find(key);
  if (it == tree.end() || !it->is_string()) {
    throw ConfigError(key, "missing or not a string");
  }
  return it->get<std::string>();
}

bool has_value(const json& tree, const std::string& key) {
  return tree.contains(key) && !tree[key].is_null();
}

std::int64_t positive_value(const json& section, const std::string& section_name,
                            const std::string& key, std::int64_t default_value) {
  const std::int64_t value = section.value(key, default_value);
  if (value <= 0) {
    throw ConfigError(section_name + "." + key, "must be greater than 0");
  }
  return value;
}

std::uint64_t parse_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, seed, kHexadecimal);
  if (ec != std::errc() || stop != end) {
    throw ConfigError("seed", "not a hexadecimal number");
  }
  return seed;
}

void check_classes(const std::vector<ClassSettings>& classes) {
  if (classes.empty()) {
    throw ConfigError("settings.Classes", "must contain at least one request class");
  }
  std::set<std::string> names;
  for (const ClassSettings& request_class : classes) {
    const std::string location = "settings.Classes '" + request_class.name + "'";
    if (request_class.name.empty() || !names.insert(request_class.name).second) {
      throw ConfigError(location, "the name is empty or not unique");
    }
    if (request_class.deadline <= 0) {
      throw ConfigError(location, "the deadline (GiveUpUs) must be greater than 0");
    }
    if (request_class.latency_objective <= 0) {
      throw ConfigError(location, "the latency objective (ObjectiveUs) must be greater than 0");
    }
  }
}

void check_plans(const std::vector<PlanSettings>& plans) {
  for (const PlanSettings& plan : plans) {
    if (plan.quota_rate < 0 || plan.quota_burst < 0 || plan.max_concurrent_attempts < 0 ||
        plan.ceiling_rate < 0 || plan.ceiling_burst < 0) {
      throw ConfigError("settings.TiersOfService '" + plan.name + "'", "a limit is negative");
    }
  }
}

void check_settings(const Settings& settings) {
  if (settings.gateway_count < 1 || settings.gateway_index < 0 ||
      settings.gateway_index >= settings.gateway_count) {
    throw ConfigError("settings.Position",
                      "must be at least 0 and below the number of gateways (ReplicasOfMe)");
  }
  if (settings.max_attempts < 1) {
    throw ConfigError("settings.Limits.MaxAttempts", "must be greater than 0");
  }
  check_classes(settings.classes);
  check_plans(settings.plans);
}

void parse_addresses(const json& tree, GatewayConfig& config) {
  config.listen_address = parse_socket_address(string_value(tree, "listen"));
  config.discovery_address = parse_socket_address(string_value(tree, "discovery"));
  if (has_value(tree, "counter")) {
    config.counter_address = parse_socket_address(string_value(tree, "counter"));
  }
  if (has_value(tree, "mgmt")) {
    config.admin_address = parse_socket_address(string_value(tree, "mgmt"));
  }
}

void parse_limits(const json& tree, GatewayConfig& config) {
  const json limits = tree.value("limits", json::object());
  config.max_sockets =
      std::size_t(positive_value(limits, "limits", "sockets", std::int64_t(config.max_sockets)));
  config.memory_limit_mb = std::size_t(
      positive_value(limits, "limits", "memory_mb", std::int64_t(config.memory_limit_mb)));
  if (config.max_sockets < kMinSockets) {
    throw ConfigError("limits.sockets", "below " + std::to_string(kMinSockets));
  }
}

void parse_network_settings(const json& settings, GatewayConfig& config) {
  const json limits = settings.value("Limits", json::object());
  config.connection_idle_timeout =
      positive_value(limits, "settings.Limits", "ConnIdleUs", config.connection_idle_timeout);
  config.connect_timeout =
      positive_value(limits, "settings.Limits", "DialTimeoutUs", config.connect_timeout);
  if (settings.value("MembershipMode", "") == "on_request") {
    const json obligations = settings.value("Obligations", json::object());
    config.max_discovery_backoff = Micros(kMaxBackoffFraction * kListValidityIntervals *
                                          double(obligations.value("AskWithinUs", Micros{0})));
  }
}

}  // namespace

GatewayConfig parse_config(const json& tree) {
  if (!tree.is_object()) {
    throw ConfigError("", "not a JSON object");
  }
  GatewayConfig config;
  config.name = string_value(tree, "name");
  parse_addresses(tree, config);
  if (tree.contains("seed")) {
    config.seed = parse_seed(string_value(tree, "seed"));
  }
  parse_limits(tree, config);
  if (!tree.contains("settings")) {
    throw ConfigError("settings", "missing");
  }
  const json& settings = tree["settings"];
  config.settings = parse_settings(settings);
  config.settings.max_customers = config.memory_limit_mb * kMaxCustomersPerMegabyte;
  check_settings(config.settings);
  parse_network_settings(settings, config);
  return config;
}

}  // namespace quota_gateway::net
