// A gateway process whose system calls on sockets are interrupted or do less than they were asked
// to. Every request must get its response all the same.
#include <gtest/gtest.h>
#include <linux/filter.h>
#include <sys/socket.h>

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "support/fake_counter.hpp"
#include "support/gateway_process.hpp"
#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kClientTimeout = 4'000'000;  // X-Expires-In of get_request()
// A request that is answered later than this after its time is lost.
constexpr Micros kMaxDelay = 500'000;

std::string with_shared_counter(std::string config) {
  const std::string zone = R"("Az":"a",)";
  return config.replace(config.find(zone), zone.size(),
                        zone + R"("Extra":{"SharedCounter":true},)");
}

class SystemCallFaults : public ::testing::Test {
 protected:
  void start(const std::string& faults, const std::string& extra_fields = "") {
    std::string entries;
    int number = 0;
    for (const FakeServer& server : servers) {
      entries +=
          (number > 0 ? "," : "") + entry_json(prefixed_number("s", number), server.host_port());
      ++number;
    }
    const std::string config = with_shared_counter(
        with_post_class(config_json(port, servers.front(), discovery, extra_fields, entries)));
    process.emplace(config, "", 0, ProcessFaults{.system_calls = faults});
    ASSERT_NE(process->read_log_until("ready").find("ready"), std::string::npos);
  }

  Client client() { return {io, {asio::ip::address_v4::loopback(), port}}; }

  // Whether the process listens. Its first attempts to do so may fail.
  bool listens() {
    tcp::socket probe(io);
    error_code ec;
    probe.connect({asio::ip::address_v4::loopback(), port}, ec);
    return !ec;
  }

  // Sends the text and returns the status of the response, or 0 if none arrives in time.
  int status_of(Client& client, const std::string& text) {
    const Micros sent_at = Clock().now();
    client.send(text);
    const auto response = client.receive();
    const bool in_time = Clock().now() - sent_at <= kClientTimeout + kMaxDelay;
    return response && in_time ? int(response->result_int()) : 0;
  }

  struct Received {
    std::string text;
    error_code error;  // that ended the connection
  };

  // Returns what the client receives until its connection ends.
  Received received_until_end(Client& client) {
    Received received;
    bool done = false;
    asio::async_read(client.socket, asio::dynamic_buffer(received.text),
                     [&](error_code ec, std::size_t) {
                       received.error = ec;
                       done = true;
                     });
    EXPECT_TRUE(run_until(io, [&] { return done; }));
    return received;
  }

  // Sends requests on several connections, which are kept between two requests.
  void expect_all_served() {
    constexpr int kConnections = 20;
    for (int i = 0; i < kConnections; ++i) {
      Client keeping = client();
      EXPECT_EQ(status_of(keeping, get_request(prefixed_number("a", i))), 200) << i;
      EXPECT_EQ(status_of(keeping, post_request(prefixed_number("b", i))), 200) << i;
    }
  }

  // The servers answer with a body of this size.
  void answer_with_body(std::size_t size) {
    for (FakeServer& server : servers) {
      server.on_request = [size](PeerConnection& connection, const HttpRequest&) {
        connection.write(http_response("200 OK", "", std::string(size, 'x')));
      };
    }
  }

  asio::io_context io;
  std::list<FakeServer> servers = [this] {
    std::list<FakeServer> list;
    for (int i = 0; i < 4; ++i) {
      list.emplace_back(io);
    }
    return list;
  }();
  FakeDiscovery discovery{io};
  std::uint16_t port = free_port(io);
  std::optional<Process> process;
};

// Guards against an interrupted call being taken for the end of a connection.
TEST_F(SystemCallFaults, InterruptedCallsLoseNoRequest) {
  start("seed=1 interrupted=0.3");
  expect_all_served();
}

// Guards against a shortage of memory of the system being taken for the end of a connection.
TEST_F(SystemCallFaults, ABriefShortageOfMemoryLosesNoRequest) {
  start("seed=1 no_memory=0.3");
  expect_all_served();
}

// Guards against connections that wait to be accepted until another client connects.
TEST_F(SystemCallFaults, AFailedAcceptDelaysNoOtherConnection) {
  constexpr int kClients = 20;
  start("seed=1 setup=0.3");
  ASSERT_TRUE(run_until(io, [&] { return listens(); }));
  std::list<Client> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(client());
  }
  int number = 0;
  for (Client& waiting : clients) {
    ASSERT_NE(status_of(waiting, get_request(prefixed_number("a", number))), 0) << number;
    ++number;
  }
}

// Guards against a reset that discards the last response on a connection with unread input.
TEST_F(SystemCallFaults, InterruptedCallsDoNotDiscardALastResponse) {
  start("seed=1 interrupted=0.3");
  for (int i = 0; i < 20; ++i) {
    Client invalid = client();
    EXPECT_EQ(status_of(invalid, "GET /profile-read/nobody HTTP/1.1\r\n\r\n" +
                                     std::string(std::size_t{256} << 10, 'x')),
              400)
        << i;
  }
}

// Guards against a response that stays incomplete until its client sends something.
TEST_F(SystemCallFaults, ShortWritesLoseNoResponse) {
  constexpr std::size_t kBodySize = 20'000;
  answer_with_body(kBodySize);
  start("seed=1 short_send=0.9");
  Client keeping = client();
  for (int i = 0; i < 5; ++i) {
    ASSERT_EQ(status_of(keeping, get_request(prefixed_number("a", i))), 200) << i;
  }
}

// Guards against an upload that never begins.
TEST_F(SystemCallFaults, AShortWriteOf100ContinueIsCompleted) {
  start("seed=1 short_send=0.9");
  for (int i = 0; i < 5; ++i) {
    Client uploading = client();
    uploading.send(post_head("Expect: 100-continue\r\nContent-Length: 5", prefixed_number("t", i)));
    std::string received(std::string_view("HTTP/1.1 100 Continue\r\n\r\n").size(), '\0');
    std::optional<error_code> done;
    asio::async_read(uploading.socket, asio::buffer(received),
                     [&](error_code ec, std::size_t) { done = ec; });
    ASSERT_TRUE(run_until(io, [&] { return done.has_value(); }));
    ASSERT_EQ(received, "HTTP/1.1 100 Continue\r\n\r\n");
    ASSERT_EQ(status_of(uploading, "hello"), 200);
  }
}

// Guards against a reset that discards the beginning of a response: without TCP_NODELAY the system
// holds it back until the client has acknowledged the response before it (seed 95).
TEST_F(SystemCallFaults, FailingOptionsDoNotDiscardABeginning) {
  constexpr int kConnections = 20;
  constexpr int kRoundsUntilAcknowledgementsAreDelayed = 20;
  for (FakeServer& server : servers) {
    server.on_request = [](PeerConnection& connection, const HttpRequest& request) {
      if (request.method() == http::verb::get) {
        return connection.write(http_response("200 OK", "", "complete"));
      }
      connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\nbeginning");
      connection.reset();
    };
  }
  start("seed=1 options=0.5");
  for (int i = 0; i < kConnections; ++i) {
    Client sending = client();
    const std::string id = std::to_string(i);
    for (int round = 0; round < kRoundsUntilAcknowledgementsAreDelayed; ++round) {
      const std::string number = std::to_string(round) + "-" + id;
      ASSERT_EQ(status_of(sending, get_request("c" + number)), 200);
    }
    sending.send(get_request("a" + id) + post_request("b" + id));
    const std::string received = received_until_end(sending).text;
    const std::size_t first_end = received.find("complete");
    ASSERT_NE(first_end, std::string::npos) << i;
    EXPECT_NE(received.find("HTTP/1.1 200", first_end), std::string::npos) << i;
  }
}

// Guards against a response that was broken off and ends like a complete one, as the reset of its
// connection was not set.
TEST_F(SystemCallFaults, FailingOptionsDoNotMakeABrokenResponseLookComplete) {
  constexpr int kConnections = 10;
  constexpr Micros kTimeUntilItIsForwarded = 150'000;
  std::shared_ptr<PeerConnection> responding;
  for (FakeServer& server : servers) {
    server.on_request = [&responding](PeerConnection& connection, const HttpRequest&) {
      connection.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(10'000, 'x'));
      responding = connection.shared_from_this();
    };
  }
  start("seed=1 options=0.5");
  for (int i = 0; i < kConnections; ++i) {
    Client waiting = client();
    std::string request = get_request(prefixed_number("a", i));
    waiting.send(request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0"));
    ASSERT_TRUE(run_until(io, [&] { return responding != nullptr; }));
    const Micros end = Clock().now() + kTimeUntilItIsForwarded;
    ASSERT_TRUE(run_until(io, [&] { return Clock().now() >= end; }));
    std::exchange(responding, nullptr)->reset();
    const Received received = received_until_end(waiting);
    EXPECT_EQ(received.error, asio::error::connection_reset) << i;
  }
}

// Guards against sockets that are closed, or never looked at again, because epoll_ctl failed.
TEST_F(SystemCallFaults, AShortageOfTheEventQueueLosesNoRequest) {
  start("seed=1 epoll=0.1");
  ASSERT_TRUE(run_until(io, [&] { return listens(); }));
  expect_all_served();
}

// Guards against a write that is never continued because epoll_ctl failed as its wait began.
TEST_F(SystemCallFaults, AShortageOfTheEventQueueLosesNoLongResponse) {
  constexpr std::size_t kMoreThanTheSystemHolds = 1'000'000;
  answer_with_body(kMoreThanTheSystemHolds);
  start("seed=1 epoll=0.5");
  ASSERT_TRUE(run_until(io, [&] { return listens(); }));
  for (int i = 0; i < 3; ++i) {
    Client reading = client();
    const std::string request = get_request(prefixed_number("a", i), "Connection: close\r\n");
    reading.send(request);
    const Micros end = Clock().now() + 100'000;  // the client does not read at first
    ASSERT_TRUE(run_until(io, [&] { return Clock().now() >= end; }));
    EXPECT_GT(received_until_end(reading).text.size(), kMoreThanTheSystemHolds) << i;
  }
}

// Guards against calls that stay partly unwritten while the counter is sound.
TEST_F(SystemCallFaults, ShortWritesToTheCounterLoseNoCall) {
  constexpr int kRequests = 100;
  constexpr Micros kInterval = 40'000;
  FakeCounter counter(io);
  start("seed=1 short_send=0.5", R"("counter":")" + counter.host_port() + R"(",)");
  for (int i = 0; i < kRequests; ++i) {
    Client closing = client();
    ASSERT_EQ(status_of(closing, get_request(prefixed_number("a", i), "Connection: close\r\n")),
              200)
        << i;
    const Micros next = Clock().now() + kInterval;
    run_until(io, [&] { return Clock().now() >= next; });
  }
  EXPECT_GT(counter.calls.size(), 0U);
  EXPECT_EQ(counter.peers.size(), 1U) << "the connection was given up";
}

// Makes the system drop all segments that arrive at the socket, until the result is destroyed.
class SegmentLoss {
 public:
  explicit SegmentLoss(tcp::socket& socket) : socket_(socket.native_handle()) {
    sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
    const sock_fprog program{1, &drop_all};
    EXPECT_EQ(::setsockopt(socket_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program), 0);
  }
  SegmentLoss(const SegmentLoss&) = delete;
  SegmentLoss& operator=(const SegmentLoss&) = delete;
  ~SegmentLoss() {
    const int ignored = 0;
    ::setsockopt(socket_, SOL_SOCKET, SO_DETACH_FILTER, &ignored, sizeof ignored);
  }

 private:
  int socket_;
};

// Guards against an attempt that the system sends again after its client has left.
TEST_F(SystemCallFaults, ALostSegmentIsNotSentAgainForAClientThatLeft) {
  constexpr Micros kConnectionRest = 100'000;
  constexpr Micros kUntilLateAttempt = 90'000;
  constexpr Micros kUntilSentAgain = 500'000;
  const auto wait = [this](Micros time) {
    const Micros end = Clock().now() + time;
    run_until(io, [&] { return Clock().now() >= end; });
  };
  while (servers.size() > 1) {
    servers.pop_back();
  }
  FakeServer& server = servers.front();
  start("");
  Client leaving = client();
  ASSERT_EQ(status_of(leaving, post_request("a")), 200);
  wait(kConnectionRest);
  {
    const SegmentLoss loss(server.peers.front()->socket);
    leaving.send(post_request("b"));
    wait(kUntilLateAttempt / 2);
    leaving.socket.close();
    wait(kUntilLateAttempt);
  }
  wait(kUntilSentAgain);
  EXPECT_EQ(server.peers.size(), 1U) << "the request was sent on another connection";
  EXPECT_EQ(server.requests.size(), 1U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
