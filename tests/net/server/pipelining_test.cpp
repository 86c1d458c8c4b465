// Requests that a client sends at once on one connection. The time of each counts from its last
// byte, whatever the requests before it take.
#include <gtest/gtest.h>

#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kMicrosPerMillisecond = 1'000;
// A request that is answered later than this after its time is lost.
constexpr Micros kMaxDelay = 500'000;
// The time that a server is told may exceed what the client has left by this.
constexpr Micros kMaxExcess = 150'000;

struct PipelinedRequest {
  bool is_get = true;
  int milliseconds = 0;  // for which the client waits
};

std::string text_of(const PipelinedRequest& request, int number) {
  const std::string id = prefixed_number("p", number);
  const std::string time = std::to_string(request.milliseconds) + "m";
  if (!request.is_get) {
    return post_request(id, time);
  }
  std::string text = get_request(id);
  return text.replace(text.find("4000m"), std::string("4000m").size(), time);
}

// All servers receive requests and never answer.
class Pipelining : public LongLatencyObjectiveTest {
 protected:
  Pipelining() {
    int number = 0;
    for (FakeServer* server : {&server1, &server2, &server3, &server4}) {
      server->on_request = [this](PeerConnection&, const HttpRequest& request) {
        forwarded.push_back({number_of(request), Clock().now(), time_left_in(request)});
      };
      test_bed.add_persisted_endpoint(listed_endpoint(prefixed_number("s", ++number), *server));
    }
    test_bed.start();
  }

  struct Forwarded {
    int number;
    Micros at;
    Micros time_left;  // as its server was told
  };

  static int number_of(const HttpRequest& request) {
    return std::atoi(std::string(request["X-Trace-Id"]).c_str() + 1);
  }
  static Micros time_left_in(const HttpRequest& request) {
    return std::atoll(std::string(request["X-Expires-In"]).c_str());
  }

  void expect_answers_in_time(const std::vector<PipelinedRequest>& requests) {
    std::string text;
    for (std::size_t i = 0; i < requests.size(); ++i) {
      text += text_of(requests[i], int(i));
    }
    Client client = test_bed.client();
    const Micros sent_at = Clock().now();
    client.send(text);
    for (const PipelinedRequest& request : requests) {
      const Micros time = request.milliseconds * kMicrosPerMillisecond;
      ASSERT_TRUE(client.receive());
      EXPECT_LE(Clock().now() - sent_at, time + kMaxDelay) << request.milliseconds << " ms";
    }
    for (const Forwarded& attempt : forwarded) {
      const Micros time =
          requests[std::size_t(attempt.number)].milliseconds * kMicrosPerMillisecond;
      EXPECT_LE(attempt.at - sent_at, time) << "request " << attempt.number;
      EXPECT_LE(attempt.time_left, sent_at + time - attempt.at + kMaxExcess)
          << "request " << attempt.number;
    }
  }

  std::vector<Forwarded> forwarded;
};

// Guards against a request whose time begins with the answer to the one before it.
TEST_F(Pipelining, TheTimeOfGetRequestsCountsFromTheirLastByte) {
  expect_answers_in_time({{true, 800}, {true, 800}, {true, 800}});
}

TEST_F(Pipelining, TheTimeOfPostRequestsCountsFromTheirLastByte) {
  expect_answers_in_time({{false, 800}, {false, 800}, {false, 800}});
}

TEST_F(Pipelining, TheTimeOfLongerRequestsCountsFromTheirLastByte) {
  expect_answers_in_time({{true, 2'000}, {false, 2'000}, {true, 2'000}});
}

// Guards against a request that cannot be answered in time because of the one before it.
TEST_F(Pipelining, ARequestIsAnsweredInTimeBehindOneThatMayTakeLonger) {
  expect_answers_in_time({{true, 2'000}, {true, 300}, {true, 2'000}});
}

// Guards against requests that were read and are dropped with the close of their connection.
TEST_F(Pipelining, RequestsThatWereReadAreAnsweredDuringAShutdown) {
  constexpr int kRequests = 3;
  std::shared_ptr<PeerConnection> held;
  for (FakeServer* server : {&server1, &server2, &server3, &server4}) {
    server->on_request = [&](PeerConnection& connection, const HttpRequest&) {
      if (!held) {
        held = connection.shared_from_this();
      } else {
        connection.write(http_response("200 OK", "", "x"));
      }
    };
  }
  Client client = test_bed.client();
  std::string text;
  for (int i = 0; i < kRequests; ++i) {
    text += get_request(prefixed_number("p", i));
  }
  client.send(text);
  ASSERT_TRUE(test_bed.run_until([&] { return held != nullptr; }));
  test_bed.server->drain([] {});
  held->write(http_response("200 OK", "", "x"));
  for (int i = 0; i < kRequests; ++i) {
    EXPECT_EQ(status(client), 200) << i;
  }
  EXPECT_TRUE(client.wait_for_close());
}

}  // namespace
}  // namespace quota_gateway::net::testing
