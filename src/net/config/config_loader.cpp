#include "net/config/config_loader.hpp"

#include <charconv>
#include <set>
#include <stdexcept>

#include "settings/settings_parser.hpp"

namespace quota_gateway::net {
namespace {

using nlohmann::json;

constexpr double kAskShare = 0.4;  // of that time, so that two calls fit in

[[noreturn]] void bad(const std::string& what) {
  throw std::runtime_error("configuration: " + what);
}

std::uint64_t parse_seed(const std::string& text) {
  std::uint64_t seed = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, seed, 16);
  if (ec != std::errc() || stop != end) {
    bad("seed is no hex number");
  }
  return seed;
}

void check(const Settings& s) {
  if (s.classes.empty()) {
    bad("settings name no class");
  }
  if (s.gateway_count < 1 || s.gateway_index < 0 || s.gateway_index >= s.gateway_count) {
    bad("settings: no such position");
  }
  if (s.max_attempts < 1) {
    bad("settings allow no attempt");
  }
  std::set<std::string> names;
  for (const ClassSettings& c : s.classes) {
    if (c.name.empty() || !names.insert(c.name).second) {
      bad("a class has no name of its own");
    }
    if (c.deadline <= 0) {
      bad("class '" + c.name + "' has no deadline");
    }
    if (c.latency_objective <= 0) {
      bad("class '" + c.name + "' has no aim");
    }
  }
  for (const PlanSettings& p : s.plans) {
    if (p.quota_rate < 0 || p.quota_burst < 0 || p.max_concurrent_attempts < 0 ||
        p.ceiling_rate < 0 || p.ceiling_burst < 0) {
      bad("plan '" + p.name + "' has a limit below 0");
    }
  }
}

Micros positive(const json& section, const char* key, Micros fallback) {
  const Micros value = section.value(key, fallback);
  if (value <= 0) {
    bad(std::string(key) + " is not above 0");
  }
  return value;
}

std::string text(const json& config, const char* key) {
  const auto it = config.find(key);
  if (it == config.end() || !it->is_string()) {
    bad(std::string("no text under '") + key + "'");
  }
  return it->get<std::string>();
}

// Of objects, each key; of lists of objects, such as the classes, the keys that all of them have.
void check_keys_kept(const json& was, const json& is, const std::string& where) {
  if (was.is_object()) {
    for (const auto& [key, value] : was.items()) {
      if (value.is_null()) {
        continue;
      }
      if (!is.is_object() || !is.contains(key) || is[key].is_null()) {
        bad("no " + where + key);
      }
      check_keys_kept(value, is[key], where + key + ".");
    }
  } else if (was.is_array() && !was.empty() && was[0].is_object() && is.is_array()) {
    json common = was[0];
    for (const json& other : was) {
      for (const auto& [key, value] : was[0].items()) {
        if (!other.contains(key)) {
          common.erase(key);
        }
      }
    }
    for (const json& entry : is) {
      check_keys_kept(common, entry, where);
    }
  } else if (was.is_array() != is.is_array() || was.is_number() != is.is_number() ||
             was.is_string() != is.is_string() || was.is_boolean() != is.is_boolean()) {
    bad("another kind of value at " + where);
  }
}

}  // namespace

void check_keys_kept(const json& was, const json& is) {
  check_keys_kept(was, is, "");
}

ConfigLoader::ConfigLoader(std::istream& file, KnownMembers known)
    : file_(file),
      reader_({"known", "members"}, {},
              known == KnownMembers::kKeep ? EndpointListParser::Retain::kEndpointsAndSamples
                                           : EndpointListParser::Retain::kSamplesOnly),
      piece_(32 << 10, '\0') {}

bool ConfigLoader::parse_chunk() {
  file_.read(piece_.data(), std::streamsize(piece_.size()));
  const std::string_view came(piece_.data(), std::size_t(file_.gcount()));
  const std::size_t used = reader_.parse_chunk(came);
  if (came.find_first_not_of(" \t\r\n", used) != std::string_view::npos) {
    bad("more behind its end");
  }
  return !came.empty();
}

ConfigFile ConfigLoader::finish() {
  if (!reader_.is_done()) {
    bad("it breaks off");
  }
  ConfigFile out;
  out.tree = reader_.surrounding_json();
  if (out.tree.contains("known") && !out.tree["known"].is_null()) {
    out.known = reader_.take_list(out.tree["known"]);
  }
  return out;
}

GatewayConfig parse_config(const json& config) {
  if (!config.is_object()) {
    bad("no object");
  }
  GatewayConfig out;
  out.name = text(config, "name");
  out.listen_address = parse_socket_address(text(config, "listen"));
  out.discovery_address = parse_socket_address(text(config, "discovery"));
  if (config.contains("counter") && !config["counter"].is_null()) {
    out.counter_address = parse_socket_address(text(config, "counter"));
  }
  if (config.contains("mgmt") && !config["mgmt"].is_null()) {
    out.admin_address = parse_socket_address(text(config, "mgmt"));
  }
  if (config.contains("seed")) {
    out.seed = parse_seed(text(config, "seed"));
  }
  const json limits = config.value("limits", json::object());
  out.max_sockets = std::size_t(positive(limits, "sockets", 1024));
  out.memory_limit_mb = std::size_t(positive(limits, "memory_mb", 192));
  if (out.max_sockets < 64) {
    bad("fewer than 64 sockets");
  }
  if (!config.contains("settings")) {
    bad("no settings");
  }
  out.settings = parse_settings(config["settings"]);
  check(out.settings);
  const json network = config["settings"].value("Limits", json::object());
  out.connection_idle_timeout = positive(network, "ConnIdleUs", out.connection_idle_timeout);
  out.connect_timeout = positive(network, "DialTimeoutUs", out.connect_timeout);
  // Where lists are asked for, a list is old only four times that after a call that failed; else at
  // once.
  const json& info = config["settings"];
  if (info.value("MembershipMode", "") == "on_request") {
    out.max_discovery_backoff =
        Micros(kAskShare * 4 *
               double(info.value("Obligations", json::object()).value("AskWithinUs", Micros{0})));
  }
  return out;
}

}  // namespace quota_gateway::net
