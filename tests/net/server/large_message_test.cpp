// Long request bodies and responses on a complete gateway: they are streamed piece by piece, and an
// incomplete one never looks complete.
#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "support/gateway_test_bed.hpp"
#include "support/steady_writer.hpp"

namespace quota_gateway::net::testing {
namespace {

// A body in which a shifted, lost or duplicated part can be detected.
std::string patterned_body(std::size_t size) {
  std::string body(size, '\0');
  for (std::size_t i = 0; i < size; ++i) {
    body[i] = char('a' + i % 23);
  }
  return body;
}

// The next response, of any length; none if the connection ends first.
std::optional<http::response<http::string_body>> receive_long(asio::io_context& io,
                                                              Client& client) {
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  boost::beast::flat_buffer buffer;
  std::optional<error_code> done;
  http::async_read(client.socket, buffer, parser,
                   [&](error_code error, std::size_t) { done = error; });
  if (!run_until(io, [&] { return done.has_value(); }) || *done) {
    return std::nullopt;
  }
  return parser.release();
}

class LargeMessages : public ::testing::Test {
 protected:
  LargeMessages() {
    test_bed.config.admin_address = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  }
  // Whether /ops/stats has this line.
  bool has_stat(const std::string& line) {
    Client client(test_bed.io, *test_bed.server->admin_address());
    client.send("GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = client.receive();
    return response && response->body().find(line + "\n") != std::string::npos;
  }

  GatewayTestBed test_bed;
  FakeServer server1{test_bed.io};
  FakeServer server2{test_bed.io};
};

TEST_F(LargeMessages, ResponsePassesUnchangedAtThePaceOfTheClient) {
  const std::string body = patterned_body(32 << 20);
  SteadyWriter writer(http_response("200 OK", "", body));
  server1.on_request = [&](PeerConnection& connection, const HttpRequest&) {
    writer.start(connection.shared_from_this());
  };
  test_bed.start();
  Client client = test_bed.client();
  client.send(get_request("t"));
  ASSERT_TRUE(test_bed.run_until([&] { return writer.written() > 0; }));
  // Runs until nothing more is written: data that the client does not read stays at the server.
  std::size_t written_before = 0;
  while (written_before != writer.written()) {
    written_before = writer.written();
    test_bed.io.restart();
    test_bed.io.run_for(std::chrono::milliseconds(100));
  }
  EXPECT_FALSE(writer.is_done());
  EXPECT_TRUE(has_stat("app.concurrent=1"));
  const auto response = receive_long(test_bed.io, client);
  ASSERT_TRUE(response);
  EXPECT_TRUE(response->body() == body);
  EXPECT_TRUE(writer.is_done());
  ASSERT_TRUE(test_bed.run_until([&] { return has_stat("app.replies.profile-read.success=1"); }));
  EXPECT_TRUE(has_stat("app.concurrent=0"));
}

TEST_F(LargeMessages, ForwardsFirstBytesBeforeTheLastArrive) {
  std::shared_ptr<PeerConnection> held;
  server1.on_request = [&](PeerConnection& connection, const HttpRequest&) {
    held = connection.shared_from_this();
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst");
  };
  test_bed.start();
  Client client = test_bed.client();
  client.send(get_request("t"));
  std::string received;
  std::array<char, 1024> buffer{};
  std::function<void()> read = [&] {
    client.socket.async_read_some(asio::buffer(buffer), [&](error_code error, std::size_t count) {
      received.append(buffer.data(), count);
      if (!error) {
        read();
      }
    });
  };
  read();
  ASSERT_TRUE(
      test_bed.run_until([&] { return received.find("\r\n\r\nfirst") != std::string::npos; }));
  held->write(std::string(99'995, 'x'));
  ASSERT_TRUE(
      test_bed.run_until([&] { return received.size() >= 100'000 && received.back() == 'x'; }));
}

TEST_F(LargeMessages, TruncatesTheResponseWithoutRetryWhenTheEndpointFailsMidway) {
  const std::string half(200'000, 'x');
  const std::string with_content_length =
      "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + half;
  const std::string in_chunks =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(half);
  for (const std::string& truncated_response : {with_content_length, in_chunks}) {
    GatewayTestBed other;
    FakeServer first{other.io};
    FakeServer second{other.io};
    int attempts = 0;
    first.on_request = [&](PeerConnection& connection, const HttpRequest&) {
      ++attempts;
      connection.write(truncated_response);
      connection.close();
    };
    second.on_request = first.on_request;
    other.add_persisted_endpoint(listed_endpoint("a", first));
    other.add_persisted_endpoint(listed_endpoint("b", second));
    other.start();
    Client client = other.client();
    client.send(get_request("t"));
    EXPECT_FALSE(receive_long(other.io, client)) << truncated_response.substr(0, 60);
    EXPECT_EQ(attempts, 1);
  }
}

// Guards against a gateway that keeps all bytes of a chunk extension without an end (review/2),
// here in a response whose beginning the client already has.
TEST_F(LargeMessages, AChunkHeaderThatNeverEndsEndsTheResponse) {
  const std::string beginning = patterned_body(200'000);
  SteadyWriter writer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(beginning) +
                      "5;" + std::string(32 << 20, 'x'));
  server1.on_request = [&](PeerConnection& connection, const HttpRequest&) {
    writer.start(connection.shared_from_this());
  };
  test_bed.start();
  Client client = test_bed.client();
  client.send(get_request("t"));
  EXPECT_FALSE(receive_long(test_bed.io, client));
  EXPECT_FALSE(writer.is_done());
  EXPECT_TRUE(has_stat("app.replies.profile-read.error=1"));
}

// Guards against a connection that is never released if the client leaves as its long response
// begins (review/3). The response arrives each number of handlers after the client has left.
TEST_F(LargeMessages, ResponseToAClientThatLeavesReleasesItsConnection) {
  constexpr int kMaxSteps = 10;
  std::shared_ptr<PeerConnection> connection;
  server1.on_request = [&](PeerConnection& peer, const HttpRequest&) {
    connection = peer.shared_from_this();
  };
  test_bed.start();
  for (int steps = 0; steps < kMaxSteps; ++steps) {
    SCOPED_TRACE(std::to_string(steps) + " steps");
    connection = nullptr;
    Client client = test_bed.client();
    client.send(get_request(prefixed_number("t", steps)));
    ASSERT_TRUE(test_bed.run_until([&] { return connection != nullptr; }));
    client.socket.close();
    for (int step = 0; step < steps; ++step) {
      test_bed.io.restart();
      test_bed.io.poll_one();
    }
    connection->write(http_response("200 OK", "", std::string(100'000, 'x')));
    ASSERT_TRUE(test_bed.run_until([&] { return connection->closed; }));
  }
  ASSERT_TRUE(test_bed.run_until([&] { return has_stat("app.concurrent=0"); }));
  EXPECT_TRUE(has_stat("app.upstream.open=0"));
}

TEST_F(LargeMessages, StatsCountTheConnectionsByState) {
  std::shared_ptr<PeerConnection> connection;
  server1.on_request = [&](PeerConnection& peer, const HttpRequest&) {
    connection = peer.shared_from_this();
  };
  test_bed.start();
  EXPECT_TRUE(has_stat("app.upstream.open=0"));
  Client client = test_bed.client();
  client.send(get_request("t"));
  ASSERT_TRUE(test_bed.run_until([&] { return connection != nullptr; }));
  EXPECT_TRUE(has_stat("app.upstream.waiting=1"));
  connection->write(http_response("200 OK", "", std::string(100'000, 'x')));
  EXPECT_TRUE(receive_long(test_bed.io, client));
  ASSERT_TRUE(test_bed.run_until([&] { return has_stat("app.upstream.idle=1"); }));
  EXPECT_TRUE(has_stat("app.upstream.open=1"));
  EXPECT_TRUE(has_stat("app.upstream.unowned=0"));
  client.send(post_head("Content-Length: 500000") + std::string(200'000, 'x'));
  ASSERT_TRUE(test_bed.run_until([&] { return has_stat("app.upstream.writing=1"); }));
  EXPECT_TRUE(has_stat("app.upstream.unowned=0"));
}

TEST_F(LargeMessages, ChunkedResponseWithTrailersArrivesComplete) {
  const std::string body = patterned_body(300'000);
  server1.on_request = [&](PeerConnection& connection, const HttpRequest&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n");
    for (std::size_t i = 0; i < body.size(); i += 30'000) {
      connection.write("7530;part=" + std::to_string(i) + "\r\n" + body.substr(i, 30'000) + "\r\n");
    }
    connection.write("0\r\nX-Sum: 1\r\n\r\n");
  };
  test_bed.start();
  Client client = test_bed.client();
  for (int request = 0; request < 2; ++request) {
    client.send(get_request(prefixed_number("t", request)));
    const auto response = receive_long(test_bed.io, client);
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->body() == body);
  }
}

TEST_F(LargeMessages, BodyArrivesUnchangedWithEitherFraming) {
  const std::string body = patterned_body(1'000'000);
  std::string chunks;
  for (std::size_t i = 0; i < body.size(); i += 50'000) {
    chunks += chunk(body.substr(i, 50'000));
  }
  chunks += "0\r\n\r\n";
  int requests_written = 0;
  for (const std::string& text : {post_head("Content-Length: 1000000") + body,
                                  post_head("Transfer-Encoding: chunked") + chunks}) {
    GatewayTestBed other;
    FakeServer server{other.io};
    std::string received;
    server.on_request = [&](PeerConnection& connection, const HttpRequest& request) {
      received = request.body();
      connection.write(http_response("200 OK", "", "done"));
    };
    other.add_persisted_endpoint(listed_endpoint("a", server));
    other.start();
    Client client = other.client();
    asio::async_write(client.socket, asio::buffer(text),
                      [&](error_code, std::size_t) { ++requests_written; });
    const auto response = client.receive();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
    EXPECT_EQ(response->body(), "done");
    EXPECT_TRUE(response->keep_alive());
    EXPECT_TRUE(received == body);
    EXPECT_EQ(server.requests.size(), 1U);
  }
  EXPECT_EQ(requests_written, 2);
}

// The beginning of a body is kept until more of the body has been forwarded; until then another
// attempt is possible.
TEST_F(LargeMessages, BodyGoesToAnotherEndpointWhenOneIsUnreachable) {
  server2.on_request = [](PeerConnection& connection, const HttpRequest& request) {
    connection.write(http_response("200 OK", "", std::to_string(request.body().size())));
  };
  test_bed.add_persisted_endpoint(listed_endpoint("s2", server2));
  server1.stop();
  test_bed.start();
  for (int request = 0; request < 3; ++request) {
    Client client = test_bed.client();
    const std::string text = post_head("Content-Length: 500000", prefixed_number("t", request)) +
                             std::string(500'000, 'x');
    asio::async_write(client.socket, asio::buffer(text), [](error_code, std::size_t) {});
    const auto response = client.receive();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
    EXPECT_EQ(response->body(), "500000");
  }
}

TEST_F(LargeMessages, IncompleteBodyIsAbandonedAndNeverRuns) {
  test_bed.start();
  {
    Client client = test_bed.client();
    client.send(post_head("Content-Length: 500000") + std::string(200'000, 'x'));
    ASSERT_TRUE(test_bed.run_until([&] { return server1.peers.size() == 1; }));
    EXPECT_TRUE(has_stat("app.concurrent=1"));
  }
  ASSERT_TRUE(test_bed.run_until([&] { return server1.peers[0]->closed; }));
  EXPECT_TRUE(has_stat("app.concurrent=0"));
  EXPECT_TRUE(has_stat("app.replies.intro-request.error=1"));
  EXPECT_TRUE(has_stat("app.dispatches=0"));
  EXPECT_TRUE(server1.requests.empty());
}

// Guards against a gateway that keeps up to 48 MiB of a response to a request whose body is still
// arriving.
TEST_F(LargeMessages, ALongResponseBeforeTheEndOfTheBodyIsNotKept) {
  SteadyWriter writer(http_response("200 OK", "", std::string(32 << 20, 'x')));
  bool has_responded = false;
  server1.on_incomplete_request = [&](PeerConnection& connection, const std::string& input) {
    if (!has_responded && input.size() > kMaxBufferedBodyBytes) {
      has_responded = true;
      writer.start(connection.shared_from_this());
    }
  };
  test_bed.start();
  Client client = test_bed.client();
  client.send(post_head("Content-Length: 500000") + std::string(200'000, 'x'));
  ASSERT_TRUE(test_bed.run_until(
      [&] { return writer.is_done() || (has_responded && server1.peers[0]->closed); }));
  EXPECT_FALSE(writer.is_done());
  // The request gets its answer: from another attempt, or a rejection if a part of the body behind
  // the beginning had been forwarded.
  client.send(std::string(300'000, 'x'));
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_TRUE(response->result_int() == 200 || response->result_int() == 503);
}

TEST_F(LargeMessages, AnswersExpectContinue) {
  constexpr std::string_view kInterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
  server1.on_request = [](PeerConnection& connection, const HttpRequest&) {
    connection.write(http_response("200 OK"));
  };
  test_bed.start();
  Client client = test_bed.client();
  client.send(post_head("Content-Length: 5\r\nExpect: 100-continue"));
  std::array<char, kInterimResponse.size()> received{};
  bool has_received = false;
  asio::async_read(client.socket, asio::buffer(received),
                   [&](error_code error, std::size_t) { has_received = !error; });
  ASSERT_TRUE(test_bed.run_until([&] { return has_received; }));
  EXPECT_EQ(std::string_view(received.data(), received.size()), kInterimResponse);
  client.send("hello");
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
