// Which client connections a gateway keeps, closes and evicts.
#include <gtest/gtest.h>

#include <deque>
#include <list>
#include <string>
#include <vector>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using ServerClientConnections = GatewayServerTest;
using PatientServerClientConnections = LongLatencyObjectiveTest;
using ClientDisconnectCost = LongLatencyObjectiveTest;

TEST_F(ServerClientConnections, ClosesSilentClientsAndAnswersSlowOnesWithTimeout) {
  rig.start();
  Client silent = rig.client();
  Client half = rig.client();
  half.send(get("a").substr(0, 60));
  EXPECT_EQ(status(half), 408);
  EXPECT_TRUE(silent.ended());
}

TEST_F(ServerClientConnections, SilentConnectionsDoNotBlockNewClients) {
  rig.config.max_sockets = 64;  // 32 clients
  rig.know(member("s1", server1));
  rig.start();
  Client served = rig.client();
  served.send(get("a"));
  ASSERT_EQ(status(served), 200);
  std::deque<Client> silent_clients;
  for (int i = 0; i < 100; ++i) {
    silent_clients.emplace_back(rig.io, rig.driver->address());
    if (i % 2 == 0) {
      silent_clients.back().send("GET /prof");
    }
  }
  Client late = rig.client();
  late.send(get("b"));
  EXPECT_EQ(status(late), 200);
}

TEST_F(ServerClientConnections, AcceptsFragmentedAndPipelinedRequests) {
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  for (const char byte : post("a")) {
    client.send(std::string(1, byte));
  }
  EXPECT_EQ(status(client), 200);
  client.send(get("b") + get("c"));
  EXPECT_EQ(status(client), 200);
  EXPECT_EQ(status(client), 200);
}

// Without this, a load balancer whose connections to this gateway are all idle would find none for
// its next requests.
TEST_F(ServerClientConnections, ClientsThatIdleAfterOneRequestDoNotHoldAllConnections) {
  rig.config.max_sockets = 64;
  rig.know(member("s1", server1));
  rig.start();
  std::deque<Client> idle_clients;
  for (int i = 0; i < 12; ++i) {
    idle_clients.push_back(rig.client());
    idle_clients.back().send(get(label("t", i)));
    EXPECT_EQ(status(idle_clients.back()), 200);
  }
  // Long before its idle limit of 4 s; the connections that were used last are kept.
  EXPECT_TRUE(idle_clients.front().ended());
  for (int i = 8; i < 12; ++i) {
    idle_clients[std::size_t(i)].send(get(label("u", i)));
    EXPECT_EQ(status(idle_clients[std::size_t(i)]), 200);
  }
}

TEST_F(ServerClientConnections, EvictsIdleClientsForNewOnes) {
  rig.config.max_sockets = 64;  // 32 clients
  rig.know(member("s1", server1));
  rig.start();
  std::deque<Client> clients;
  for (int i = 0; i < 40; ++i) {
    clients.emplace_back(rig.io, rig.driver->address());
    clients.back().send(get(label("t", i)));
    EXPECT_EQ(status(clients.back()), 200) << i;
  }
  EXPECT_TRUE(clients.front().ended());
}

// The new clients are accepted before the last bytes of the requests are read.
TEST_F(PatientServerClientConnections, DoesNotEvictAClientWhoseRequestIsComplete) {
  std::list<FakeServer> servers;
  for (int i = 0; i < 60; ++i) {
    rig.know(member(label("s", i), servers.emplace_back(rig.io)));
  }
  rig.config.max_sockets = 64;  // 24 clients
  rig.start();
  std::vector<Client> early_clients;
  for (int i = 0; i < 24; ++i) {
    early_clients.push_back(rig.client());
    early_clients.back().send(get(label("c", i)).substr(0, 60));
  }
  // By then all of them are accepted, and the beginnings of their requests are read.
  for (int turn = 0; turn < 5; ++turn) {
    rig.io.restart();
    rig.io.poll();
  }
  std::vector<Client> new_clients;
  for (int i = 0; i < 3; ++i) {
    new_clients.push_back(rig.client());
    new_clients.back().send(get(label("m", i)));
  }
  for (std::size_t i = 0; i < early_clients.size(); ++i) {
    early_clients[i].send(get(label("c", int(i))).substr(60));
  }
  for (Client& client : early_clients) {
    EXPECT_GE(status(client), 200);
  }
  for (Client& client : new_clients) {
    EXPECT_GE(status(client), 200);
  }
}

// How a client that has sent more than the gateway reads leaves.
struct UnreadInput {
  bool resets;   // else closes in order
  bool uploads;  // within a long body, else behind a complete request
};

// Whether `server` has so many requests in progress.
bool has_open_requests(const GatewayServer& server, int count) {
  const std::string line = label("app.concurrent=", count) + "\n";
  return server.render_stats().find(line) != std::string::npos;
}

std::string request_for(const UnreadInput& input) {
  if (!input.uploads) {
    return get("g");
  }
  std::string text = post("u");
  const std::string length = "Length: 5";
  text.replace(text.find(length), length.size(), "Length: 900000");
  return text;
}

// The end of the connection lies unread behind what the client has sent ahead.
TEST_F(ClientDisconnectCost, DoesNotForwardForAClientThatDisconnectedWithUnreadInput) {
  const std::string ahead(200'000, 'x');
  for (const UnreadInput& input : {UnreadInput{true, true}, UnreadInput{true, false},
                                   UnreadInput{false, true}, UnreadInput{false, false}}) {
    Rig held;  // forwards no request, since its discovery does not answer
    FakeServer server(held.io);
    held.know(member("s1", server));
    for (ClassSettings& class_settings : held.config.settings.classes) {
      class_settings.latency_objective = 3'000'000;
    }
    held.discovery.mute = true;
    held.start();
    Client client = held.client();
    client.send(request_for(input));
    ASSERT_TRUE(held.until([&] { return input.uploads || has_open_requests(*held.driver, 1); }));
    bool sent = false;
    asio::async_write(client.socket, asio::buffer(ahead),
                      [&](error_code, std::size_t) { sent = true; });
    ASSERT_TRUE(
        held.until([&] { return has_open_requests(*held.driver, 1) && (sent || input.uploads); }));
    if (input.resets) {
      client.socket.set_option(asio::socket_base::linger(true, 0));
    }
    const Micros disconnected_at = Clock().now();
    client.socket.close();
    // While the body is not read, an orderly end behind it can't be seen. No server ever gets such
    // a body complete.
    if (input.uploads && !input.resets) {
      continue;
    }
    ASSERT_TRUE(held.until([&] { return has_open_requests(*held.driver, 0); }));
    EXPECT_LT(Clock().now() - disconnected_at, 300'000) << input.resets << input.uploads;
    EXPECT_TRUE(server.requests.empty()) << input.resets << input.uploads;
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
