// The admin server and its metrics on a complete gateway.
#include "net/admin/admin_server.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {
namespace {

class AdminServerTest : public ::testing::Test {
 protected:
  AdminServerTest() {
    test_bed.config.admin_address = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
  }
  Client connect() { return {test_bed.io, *test_bed.server->admin_address()}; }
  // The status of /ops/readiness.
  std::optional<int> readiness() {
    Client connection = connect();
    connection.send("GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    return status(connection);
  }
  // A metric of /ops/stats; none: there is no such line.
  std::optional<int> stat(const std::string& name) {
    Client connection = connect();
    connection.send("GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = connection.receive();
    if (!response) {
      return std::nullopt;
    }
    const std::string lines = "\n" + response->body();
    const std::string line_start = "\napp." + name + "=";
    const auto position = lines.find(line_start);
    if (position == std::string::npos) {
      return std::nullopt;
    }
    return std::stoi(lines.substr(position + line_start.size()));
  }
  // The status of the next response; none: the connection ended without one.
  static std::optional<int> status(Client& connection) {
    const auto response = connection.receive();
    if (!response) {
      return std::nullopt;
    }
    return int(response->result_int());
  }
  GatewayTestBed test_bed;
  FakeServer server_one{test_bed.io};
  FakeServer server_two{test_bed.io};
};

TEST_F(AdminServerTest, DoesNotListenWithoutAConfiguredAddress) {
  test_bed.config.admin_address.reset();
  test_bed.start();
  EXPECT_FALSE(test_bed.server->admin_address());
}

// At a restart another process may still hold the admin address.
TEST_F(AdminServerTest, AnAddressInUseDoesNotKeepTheGatewayFromServing) {
  tcp::acceptor other_listener(test_bed.io, {asio::ip::address_v4::loopback(), 0}, false);
  const auto address = other_listener.local_endpoint();
  test_bed.config.admin_address = address;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server_one));
  test_bed.start();
  Client connection = test_bed.client();
  connection.send(get_request("a"));
  EXPECT_EQ(status(connection), 200);
  other_listener.close();
  ASSERT_TRUE(test_bed.run_until([&] {
    error_code ec;
    tcp::socket again(test_bed.io);
    again.connect(address, ec);
    return !ec;
  }));
  EXPECT_EQ(readiness(), 200);
}

TEST_F(AdminServerTest, IsReadyFromTheFirstEndpointUntilItDrains) {
  test_bed.discovery.unresponsive = true;
  test_bed.start();
  EXPECT_EQ(readiness(), 503);
  ASSERT_TRUE(test_bed.run_until([&] { return test_bed.discovery.request_targets.size() == 1; }));
  test_bed.discovery.send_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  test_bed.discovery.send_chunk(
      list_json(42, true, entry_json("s1", server_one.host_port(), "draining")));
  ASSERT_TRUE(test_bed.run_until([&] { return stat("targets") == 1; }));
  EXPECT_EQ(readiness(), 503);
  EXPECT_EQ(stat("targets_disabled"), 1);
  test_bed.discovery.send_chunk(list_json(43, false, entry_json("s2", server_two.host_port())));
  ASSERT_TRUE(test_bed.run_until([&] { return stat("targets") == 2; }));
  EXPECT_EQ(readiness(), 200);
  test_bed.discovery.send_chunk(
      list_json(44, false, entry_json("s1", server_one.host_port(), "removed")));
  ASSERT_TRUE(test_bed.run_until([&] { return stat("targets") == 1; }));
  EXPECT_EQ(stat("targets_disabled"), 0);
  test_bed.server->drain([] {});
  EXPECT_EQ(readiness(), 503);
}

TEST_F(AdminServerTest, RejectsAndClosesInvalidRequests) {
  test_bed.start();
  const std::map<std::string, int> status_by_request = {
      {"nonsense\r\n\r\n", 400},
      {"GET /ops/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {"POST /ops/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405},
      {"GET /ops/stats HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
      {"GET /ops/stats HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
      {"GET /ops/stats HTTP/1.1\r\nX: " + std::string(9'000, 'x') + "\r\n\r\n", 413},
      {"GET /" + std::string(9'000, 'x'), 413}};
  for (const auto& [text, expected_status] : status_by_request) {
    Client connection = connect();
    connection.send(text);
    EXPECT_EQ(status(connection), expected_status) << text.substr(0, 100);
    EXPECT_TRUE(connection.wait_for_close()) << text.substr(0, 100);
  }
}

TEST_F(AdminServerTest, IncompleteRequestsDoNotKeepOthersOut) {
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server_one));
  test_bed.start();
  std::list<Client> slow_connections;
  for (std::size_t i = 0; i < 3 * kMaxAdminConnections; ++i) {
    slow_connections.emplace_back(test_bed.io, *test_bed.server->admin_address())
        .send("GET /ops/sta");
    EXPECT_EQ(stat("targets"), 1);
  }
  EXPECT_TRUE(slow_connections.front().wait_for_close());
}

TEST_F(AdminServerTest, ClientsThatUseEveryConnectionDoNotKeepOperatorsOut) {
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server_one));
  test_bed.config.max_sockets = 64;
  test_bed.start();
  std::list<Client> client_connections;
  for (int i = 0; i < 100; ++i) {
    client_connections.emplace_back(test_bed.client()).send("GET /profile");
  }
  EXPECT_EQ(stat("targets"), 1);
}

TEST_F(AdminServerTest, CountsEachRequestInOneMetric) {
  test_bed.config.settings.plans[0].quota_rate = 2;
  test_bed.config.settings.plans[0].quota_burst = 3;
  test_bed.config.settings.gateway_count = 3;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server_one));
  test_bed.start();
  int served = 0;
  int rejected = 0;
  for (int i = 0; i < 8; ++i) {
    Client connection = test_bed.client();
    connection.send(get_request(prefixed_number("t", i)));
    if (status(connection) == 200) {
      ++served;
    } else {
      ++rejected;
    }
  }
  EXPECT_GT(served, 0);
  EXPECT_GT(rejected, 0);
  EXPECT_EQ(stat("replies.profile-read.success"), served);
  EXPECT_EQ(stat("replies.profile-read.overload"), rejected);
  EXPECT_EQ(stat("replies.profile-read.error"), 0);
  EXPECT_EQ(stat("replies.intro-request.success"), 0);
  EXPECT_EQ(stat("dispatches"), served);
  EXPECT_EQ(stat("concurrent"), 0);
}

TEST_F(AdminServerTest, CountsAnAbandonedRequestAsConcurrentThenAsAnError) {
  std::shared_ptr<PeerConnection> held;
  server_one.on_request = [&](PeerConnection& peer, const HttpRequest&) {
    held = peer.shared_from_this();
  };
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server_one));
  test_bed.start();
  {
    Client connection = test_bed.client();
    connection.send(get_request("t"));
    ASSERT_TRUE(test_bed.run_until([&] { return held != nullptr; }));
    EXPECT_EQ(stat("concurrent"), 1);
    EXPECT_EQ(stat("dispatches"), 1);
  }
  ASSERT_TRUE(test_bed.run_until([&] { return held->closed; }));
  EXPECT_EQ(stat("concurrent"), 0);
  EXPECT_EQ(stat("replies.profile-read.error"), 1);
  EXPECT_EQ(stat("replies.profile-read.success"), 0);
  EXPECT_EQ(stat("replies.profile-read.overload"), 0);
}

TEST_F(AdminServerTest, CountsAnEjectedServerAsDisabledAndItsRequestsAsErrors) {
  server_one.on_request = [](PeerConnection& peer, const HttpRequest&) {
    peer.write(http_response("500 Oops"));
  };
  test_bed.config.settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server_one));
  test_bed.start();
  for (int i = 0; i < 3; ++i) {
    Client connection = test_bed.client();
    std::string text = post_request(prefixed_number("t", i));
    text.replace(text.find("intro-request"), 13, "profile-read");
    connection.send(text);
    EXPECT_EQ(status(connection), 502);
  }
  EXPECT_EQ(stat("replies.profile-read.error"), 3);
  EXPECT_EQ(stat("dispatches"), 3);
  EXPECT_EQ(stat("targets"), 1);
  EXPECT_EQ(stat("targets_disabled"), 1);
}

TEST_F(AdminServerTest, RejectsARemovedClassAndStillCountsItsOpenRequests) {
  std::shared_ptr<PeerConnection> held;
  server_one.on_request = [&](PeerConnection& peer, const HttpRequest&) {
    held = peer.shared_from_this();
  };
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server_one));
  test_bed.start();
  Client open = test_bed.client();
  open.send(get_request("t"));
  ASSERT_TRUE(test_bed.run_until([&] { return held != nullptr; }));
  GatewayConfig renamed = test_bed.config;
  renamed.settings.classes[0].name = "profile-next";
  test_bed.server->reload(renamed);
  EXPECT_EQ(stat("replies.profile-next.success"), 0);
  Client late = test_bed.client();
  late.send(get_request("u"));
  EXPECT_EQ(status(late), 400);
  held->write(http_response("200 OK"));
  EXPECT_EQ(status(open), 200);
  EXPECT_EQ(stat("replies.profile-read.success"), 1);
  EXPECT_EQ(stat("replies.profile-read.error"), 0);
  server_one.on_request = [](PeerConnection& peer, const HttpRequest&) {
    peer.write(http_response("200 OK"));
  };
  Client next = test_bed.client();
  std::string text = get_request("v");
  text.replace(text.find("profile-read"), 12, "profile-next");
  next.send(text);
  EXPECT_EQ(status(next), 200);
  EXPECT_EQ(stat("replies.profile-next.success"), 1);
}

TEST_F(AdminServerTest, CountsAcceptedAndRejectedReloads) {
  test_bed.start();
  test_bed.server->reload(test_bed.config);
  test_bed.server->on_reload_rejected();
  test_bed.server->on_reload_rejected();
  EXPECT_EQ(stat("reload_success"), 1);
  EXPECT_EQ(stat("reload_failure"), 2);
}

}  // namespace
}  // namespace quota_gateway::net::testing
