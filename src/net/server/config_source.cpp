#include "net/server/config_source.hpp"

#include <cstdlib>
#include <stdexcept>
#include <string>

#include "net/config/config_parser.hpp"
#include "net/discovery/endpoint_list_parser.hpp"
#include "net/discovery/socket_address.hpp"

namespace quota_gateway::net {
namespace {

// Returns an empty string if the variable is not set.
std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

}  // namespace

std::ifstream open_config_file() {
  const std::string path = environment_variable("RELAY_CONFIG");
  if (path.empty()) {
    throw std::runtime_error("the environment variable RELAY_CONFIG is not set");
  }
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("cannot open the configuration file " + path);
  }
  return file;
}

ConfigFile read_config_file() {
  auto file = open_config_file();
  ConfigLoader loader(file, ConfigLoader::EndpointRetention::kKeep);
  while (loader.parse_chunk()) {
  }
  return loader.finish();
}

GatewayConfig make_config(const nlohmann::json& tree) {
  GatewayConfig config = parse_config(tree);
  config.hot_restart_directory = environment_variable("TMPDIR");
  const std::string admin_address = environment_variable("RELAY_MGMT");
  if (!config.admin_address && !admin_address.empty()) {
    config.admin_address = parse_socket_address(admin_address);
  }
  return config;
}

}  // namespace quota_gateway::net
