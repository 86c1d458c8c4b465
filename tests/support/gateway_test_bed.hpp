// A complete gateway that runs in the event loop of the test, with fakes of its servers, counter
// and discovery agent and with clients, all on 127.0.0.1. The test bed waits for
// conditions by running the event loop and never sleeps.
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

// Holds a gateway, its configuration and a discovery agent that by default sends no endpoint lists.
// Tests change `config` before they call start().
class GatewayTestBed {
 public:
  GatewayTestBed();

  // Adds an endpoint to the persisted list of the configuration.
  void add_persisted_endpoint(const ListedEndpoint& endpoint) {
    config.persisted_endpoints.endpoints.push_back(endpoint);
  }
  // Starts the gateway. Waits until the gateway has applied the persisted list, unless the list is
  // empty or discovery is unresponsive.
  GatewayServer& start();
  // Returns a client with a new connection to the gateway.
  Client client() { return {io, server->address()}; }
  // Runs the event loop until `done` returns true. Returns false on a timeout.
  bool run_until(const std::function<bool()>& done) { return testing::run_until(io, done); }

  asio::io_context io;
  FakeDiscovery discovery;
  GatewayConfig config;
  std::optional<GatewayServer> server;
};

}  // namespace quota_gateway::net::testing
