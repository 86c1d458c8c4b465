// Long bodies and answers, on a whole gateway: they pass in pieces, and never seem whole when they
// are not.
#include <gtest/gtest.h>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class LargeMessages : public ::testing::Test {
 protected:
  LargeMessages() {
    rig.config.admin_address = tcp::endpoint(asio::ip::address_v4::loopback(), 0);
    rig.know(member("s1", server1));
  }
  std::string figures() {
    Client client(rig.io, *rig.driver->admin_address());
    client.send("GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = client.receive();
    return answer ? answer->body() : "";
  }
  bool has(const std::string& line) { return figures().find(line + "\n") != std::string::npos; }
  // An answer of whatever length.
  static std::optional<http::response<http::string_body>> receive(asio::io_context& io,
                                                                  Client& client) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    boost::beast::flat_buffer buffer;
    std::optional<error_code> done;
    http::async_read(client.socket, buffer, parser,
                     [&](error_code error, std::size_t) { done = error; });
    if (!until(io, [&] { return done.has_value(); }) || *done) {
      return std::nullopt;
    }
    return parser.release();
  }
  static std::string body_of(std::size_t size) {
    std::string out(size, 0);
    for (std::size_t i = 0; i < size; ++i) {
      out[i] = char('a' + i % 23);
    }
    return out;
  }
  static std::string long_post(const std::string& framing) {
    return "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: t\r\n"
           "Plan: plan-group\r\nX-Expires-In: 4000m\r\nIdempotency-Key: k\r\n" +
           framing + "\r\nQuota-Info: units=1,spread=3,first=0\r\n\r\n";
  }
  Rig rig;
  FakeServer server1{rig.io};
  FakeServer server2{rig.io};
};

TEST_F(LargeMessages, ResponsePassesUnchangedAtThePaceOfTheClient) {
  const std::string body = body_of(32 << 20);
  const std::string text = reply("200 OK", "", body);
  std::size_t written = 0;
  bool all = false;
  std::shared_ptr<Peer> peer;
  std::function<void()> go = [&] {
    peer->socket.async_write_some(asio::buffer(text) + written,
                                  [&](error_code error, std::size_t count) {
                                    written += count;
                                    all = written == text.size();
                                    if (!error && !all) {
                                      go();
                                    }
                                  });
  };
  server1.on_request = [&](Peer& connection, const Request_&) {
    peer = connection.shared_from_this();
    go();
  };
  rig.start();
  Client client = rig.client();
  client.send(get("t"));
  ASSERT_TRUE(rig.until([&] { return written > 0; }));
  // Until nothing moves any more: what is not taken is left with the server.
  for (std::size_t before = 0; before != written;) {
    before = written;
    rig.io.restart();
    rig.io.run_for(std::chrono::milliseconds(100));
  }
  EXPECT_FALSE(all);
  EXPECT_TRUE(has("app.concurrent=1"));
  const auto answer = receive(rig.io, client);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->body() == body);
  EXPECT_TRUE(all);
  ASSERT_TRUE(rig.until([&] { return has("app.replies.profile-read.success=1"); }));
  EXPECT_TRUE(has("app.concurrent=0"));
}

TEST_F(LargeMessages, ForwardsFirstBytesBeforeTheLastArrive) {
  std::shared_ptr<Peer> peer;
  server1.on_request = [&](Peer& connection, const Request_&) {
    peer = connection.shared_from_this();
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst");
  };
  rig.start();
  Client client = rig.client();
  client.send(get("t"));
  std::string seen;
  char chunk[1024];
  std::function<void()> read = [&] {
    client.socket.async_read_some(asio::buffer(chunk), [&](error_code error, std::size_t count) {
      seen.append(chunk, count);
      if (!error) {
        read();
      }
    });
  };
  read();
  ASSERT_TRUE(rig.until([&] { return seen.find("\r\n\r\nfirst") != std::string::npos; }));
  peer->write(std::string(99'995, 'x'));
  ASSERT_TRUE(rig.until([&] { return seen.size() >= 100'000 && seen.back() == 'x'; }));
}

TEST_F(LargeMessages, TruncatesTheResponseWithoutRetryWhenTheEndpointFailsMidway) {
  // Of a length that was told, in chunks, and one that ends where its connection does.
  const std::string half(200'000, 'x');
  char size[16];
  std::snprintf(size, sizeof size, "%zx", half.size());
  for (const std::string& text : {"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n" + half,
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                      std::string(size) + "\r\n" + half + "\r\n"}) {
    Rig one;
    FakeServer a{one.io};
    FakeServer b{one.io};
    int asked = 0;
    const auto cut = [&](Peer& connection, const Request_&) {
      ++asked;
      connection.write(text);
      connection.close();
    };
    a.on_request = b.on_request = cut;
    one.know(member("a", a));
    one.know(member("b", b));
    one.start();
    Client client = one.client();
    client.send(get("t"));
    EXPECT_FALSE(receive(one.io, client)) << text.substr(0, 60);
    EXPECT_EQ(asked, 1);
  }
}

TEST_F(LargeMessages, ChunkedResponseWithTrailersArrivesComplete) {
  const std::string body = body_of(300'000);
  server1.on_request = [&](Peer& connection, const Request_&) {
    connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n");
    for (std::size_t i = 0; i < body.size(); i += 30'000) {
      connection.write("7530;part=" + std::to_string(i) + "\r\n" + body.substr(i, 30'000) + "\r\n");
    }
    connection.write("0\r\nX-Sum: 1\r\n\r\n");
  };
  rig.start();
  Client client = rig.client();
  for (int i = 0; i < 2; ++i) {
    client.send(get(label("t", i)));
    const auto answer = receive(rig.io, client);
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->body() == body);
  }
}

TEST_F(LargeMessages, BodyArrivesUnchangedWithEitherFraming) {
  const std::string body = body_of(1'000'000);
  std::string chunks;
  for (std::size_t i = 0; i < body.size(); i += 50'000) {
    chunks += "c350\r\n" + body.substr(i, 50'000) + "\r\n";
  }
  chunks += "0\r\n\r\n";
  int told = 0;
  for (const std::string& text : {long_post("Content-Length: 1000000") + body,
                                  long_post("Transfer-Encoding: chunked") + chunks}) {
    Rig one;
    FakeServer a{one.io};
    std::string got;
    a.on_request = [&](Peer& connection, const Request_& request) {
      got = request.body();
      connection.write(reply("200 OK", "", "done"));
    };
    one.know(member("a", a));
    one.start();
    Client client = one.client();
    asio::async_write(client.socket, asio::buffer(text), [&](error_code, std::size_t) { ++told; });
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200U);
    EXPECT_EQ(answer->body(), "done");
    EXPECT_TRUE(answer->keep_alive());
    EXPECT_TRUE(got == body);
    EXPECT_EQ(a.requests.size(), 1U);
  }
  EXPECT_EQ(told, 2);
}

TEST_F(LargeMessages, BodyGoesToAnotherEndpointWhenOneIsUnreachable) {
  // Its beginning is kept until some of the rest has gone.
  server2.on_request = [](Peer& connection, const Request_& request) {
    connection.write(reply("200 OK", "", std::to_string(request.body().size())));
  };
  rig.know(member("s2", server2));
  server1.stop();
  rig.start();
  for (int i = 0; i < 3; ++i) {
    Client client = rig.client();
    std::string text = long_post("Content-Length: 500000") + std::string(500'000, 'x');
    text.replace(text.find("X-Trace-Id: t"), 13, "X-Trace-Id: t" + std::to_string(i));
    asio::async_write(client.socket, asio::buffer(text), [](error_code, std::size_t) {});
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->result_int(), 200U);
    EXPECT_EQ(answer->body(), "500000");
  }
}

TEST_F(LargeMessages, IncompleteBodyIsAbandonedAndNeverRuns) {
  rig.start();
  {
    Client client = rig.client();
    client.send(long_post("Content-Length: 500000") + std::string(200'000, 'x'));
    ASSERT_TRUE(rig.until([&] { return server1.peers.size() == 1; }));
    EXPECT_TRUE(has("app.concurrent=1"));
  }
  ASSERT_TRUE(rig.until([&] { return server1.peers[0]->over; }));
  EXPECT_TRUE(has("app.concurrent=0"));
  EXPECT_TRUE(has("app.replies.intro-request.error=1"));
  EXPECT_TRUE(has("app.dispatches=0"));
  EXPECT_TRUE(server1.requests.empty());
}

TEST_F(LargeMessages, AnswersExpectContinue) {
  server1.on_request = [](Peer& connection, const Request_&) { connection.write(reply("200 OK")); };
  rig.start();
  Client client = rig.client();
  client.send(long_post("Content-Length: 5\r\nExpect: 100-continue"));
  std::array<char, 25> told{};
  bool heard = false;
  asio::async_read(client.socket, asio::buffer(told),
                   [&](error_code error, std::size_t) { heard = !error; });
  ASSERT_TRUE(rig.until([&] { return heard; }));
  EXPECT_EQ(std::string(told.data(), 21), "HTTP/1.1 100 Continue");
  client.send("hello");
  const auto answer = client.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
