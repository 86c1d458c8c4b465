// The gateway program as a process: its start with an invalid configuration, and SIGTERM with a
// request in flight.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "support/gateway_process.hpp"
#include "support/gateway_test_bed.hpp"
#include "support/resource_usage.hpp"

namespace quota_gateway::net::testing {
namespace {

// Whether a process listens at that port.
bool listens(asio::io_context& io, std::uint16_t port) {
  tcp::socket socket(io);
  error_code ec;
  socket.connect({asio::ip::address_v4::loopback(), port}, ec);
  return !ec;
}

TEST(GatewayProcess, BadConfigurationLogsOneLineAndExitsWithAnError) {
  for (const char* text :
       {"", "{", "[]", "{}", R"({"name":"n","listen":"x","discovery":"127.0.0.1:1"})",
        R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":3})",
        R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}})"}) {
    Process process(text);
    const std::string log = process.read_log_until("never");
    EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << text << " -> " << log;
    EXPECT_GT(process.wait_for_exit(), 0) << text;
  }
}

// Guards against a process that ends by itself as its port is taken for a moment while it restarts.
TEST(GatewayProcess, WaitsForItsAddressIfAnotherSocketHasIt) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  std::optional<tcp::acceptor> other(std::in_place, io,
                                     tcp::endpoint(asio::ip::address_v4::loopback(), port));
  Process process(config_json(port, server, discovery));
  const std::string log = process.read_log_until("trying again");
  EXPECT_NE(log.find("cannot listen"), std::string::npos) << log;
  EXPECT_TRUE(process.is_running());
  other.reset();
  EXPECT_TRUE(run_until(io, [&] { return listens(io, port); }));
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("a"));
  EXPECT_TRUE(client.receive());
}

// Guards against a process that ends by itself as its configuration changes while it starts.
TEST(GatewayProcess, ASighupDuringItsStartIsAReload) {
  constexpr int kEndpoints = 20'000;  // take long enough to read
  constexpr Micros kMaxStartTime = 10'000'000;
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  Process process(
      config_json(free_port(io), server, discovery, "", endpoint_entries_json(kEndpoints)));
  const Micros start = Clock().now();
  while (!process.has_opened_configuration() && Clock().now() < start + kMaxStartTime) {
  }
  process.request_reload();
  const std::string log = process.read_log_until("configuration reloaded");
  EXPECT_NE(log.find("configuration reloaded"), std::string::npos) << log;
  EXPECT_TRUE(process.is_running());
}

// Guards against a request that is reset unseen: it crosses the gateway's own end of its
// connection.
TEST(GatewayProcess, ARequestThatCrossesTheEndOfItsIdleConnectionIsAnswered) {
  constexpr std::chrono::milliseconds kIntoTheHold{50};
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  Process process(config_json(port, server, discovery), "", 0,
                  {.system_calls = "seed=1 held_close=1"});
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("a"));
  ASSERT_TRUE(client.receive());
  process.terminate();
  ASSERT_NE(process.read_log_until("draining").find("draining"), std::string::npos);
  std::this_thread::sleep_for(kIntoTheHold);
  client.send(get_request("b"));
  EXPECT_TRUE(client.receive());
}

// Guards against requests without an answer where the system allows fewer descriptors than the
// configuration says, and silent clients hold all of them.
TEST(GatewayProcess, SilentClientsDoNotTakeAllDescriptorsOfALowerSystemLimit) {
  constexpr std::size_t kSystemLimit = 64;
  constexpr int kSilentClients = 100;
  constexpr Micros kLatestAnswer = 1'500'000;  // the time of the request and 0.5 s
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  Process process(with_post_class(config_json(port, server, discovery)), "", kSystemLimit);
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  const tcp::endpoint address(asio::ip::address_v4::loopback(), port);
  std::deque<Client> silent_clients;
  for (int i = 0; i < kSilentClients; ++i) {
    silent_clients.emplace_back(io, address);
  }
  Client client(io, address);
  const Micros sent_at = Clock().now();
  client.send(post_request("t", "1000m"));
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_LT(Clock().now() - sent_at, kLatestAnswer);
}

// Guards against an event loop that waits for the reader of its log.
TEST(GatewayProcess, ALogThatNobodyReadsDoesNotHoldUpRequests) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  Process process(config_json(port, server, discovery));
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  process.fill_log();
  Client client(io, {asio::ip::address_v4::loopback(), port});
  process.request_reload();  // logs a line
  client.send(get_request("t"));
  EXPECT_TRUE(client.receive());
}

TEST(GatewayProcess, SigtermFinishesRequestsInFlightAndExitsWithSuccess) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  std::shared_ptr<PeerConnection> held;
  server.on_request = [&](PeerConnection& connection, const HttpRequest&) {
    held = connection.shared_from_this();
  };
  const auto port = free_port(io);
  Process process(config_json(port, server, discovery));
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("a"));
  ASSERT_TRUE(run_until(io, [&] { return held != nullptr; }));
  process.terminate();
  ASSERT_NE(process.read_log_until("draining").find("draining"), std::string::npos);
  held->write(http_response("200 OK", "", "held"));
  const auto answer = client.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "held");
  EXPECT_TRUE(client.wait_for_close());
  EXPECT_EQ(process.wait_for_exit(), 0);
}

}  // namespace
}  // namespace quota_gateway::net::testing
