// Reloads the configuration file at SIGHUP. The file is read and checked completely before any of
// it is applied; after an error the gateway continues with the previous configuration. Owned by the
// program's main function.
#pragma once

#include <boost/asio/io_context.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "net/config/config_loader.hpp"
#include "net/server/gateway_server.hpp"

namespace quota_gateway::net {

class ConfigReloader {
 public:
  // `applied_tree` is the content of the configuration file in force. A new file must have all of
  // its keys.
  ConfigReloader(boost::asio::io_context& io, GatewayServer& server, std::string gateway_name,
                 nlohmann::json applied_tree);

  // Starts a reload. A reload in progress starts again from the beginning, since the file may have
  // been replaced in the meantime.
  void start();

 private:
  void post_next_chunk();
  void read_chunk();
  void apply();
  template <typename Step>
  void run_step(const Step& step);

  boost::asio::io_context& io_;
  GatewayServer& server_;
  const std::string gateway_name_;
  nlohmann::json applied_tree_;
  std::ifstream file_;
  std::optional<ConfigLoader> loader_;
  bool chunk_posted_ = false;
};

}  // namespace quota_gateway::net
