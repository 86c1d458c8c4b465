// A complete gateway on the loop of the test, and what its tests talk to: servers, a counter,
// discovery and clients on 127.0.0.1, each doing just what its test says. Nothing here sleeps.
#pragma once

#include <functional>
#include <optional>

#include "net/server/gateway_server.hpp"
#include "support/event_loop_runner.hpp"
#include "support/fake_counter.hpp"
#include "support/fake_discovery.hpp"
#include "support/fake_server.hpp"
#include "support/http_client.hpp"
#include "support/http_messages.hpp"
#include "support/listed_endpoints.hpp"
#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// Its discovery has no changes to send. Change `config` before start().
class GatewayTestBed {
 public:
  GatewayTestBed();

  void add_persisted_endpoint(const ListedEndpoint& endpoint) {
    config.persisted_endpoints.endpoints.push_back(endpoint);
  }
  // Returns once the persisted list is applied, unless discovery is unresponsive.
  GatewayServer& start();
  Client client() { return {io, server->address()}; }
  bool run_until(const std::function<bool()>& done) { return testing::run_until(io, done); }

  asio::io_context io;
  FakeDiscovery discovery;
  GatewayConfig config;
  std::optional<GatewayServer> server;
};

}  // namespace quota_gateway::net::testing
