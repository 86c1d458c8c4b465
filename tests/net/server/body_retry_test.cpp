// Retries of requests with a long body: the rest of the body may arrive at any moment between the
// failure of one attempt and the next attempt's request for it.
#include <gtest/gtest.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::size_t kBeginningBytes = 70'000;
// Handlers of the event loop that run between the failure and the rest of the body. The retry takes
// fewer of them.
constexpr int kMaxSteps = 20;

// The rest of each body. A server that receives it without the beginning reads it as a request.
const std::string kRest =
    "POST /intro-request/0000000000000001 HTTP/1.1\r\nHost: origin.svc\r\n"
    "X-Trace-Id: inside-a-body\r\nContent-Length: 0\r\n\r\n";

struct BodyFraming {
  std::string header;
  std::string beginning;
  std::string rest;
};

std::vector<BodyFraming> body_framings() {
  const std::string beginning(kBeginningBytes, 'a');
  const std::string length = std::to_string(kBeginningBytes + kRest.size());
  return {{"Content-Length: " + length, beginning, kRest},
          {"Transfer-Encoding: chunked", chunk(beginning), chunk(kRest) + "0\r\n\r\n"}};
}

// Two servers and a request with a long body. The server that receives the beginning of the body
// first holds the request until the test fails its attempt; the rest arrives `steps` handlers
// later.
class RetryTrial {
 public:
  RetryTrial() {
    for (FakeServer* server : {&first, &second}) {
      server->on_incomplete_request = [this](PeerConnection& connection, const std::string& input) {
        if (!held_ && input.size() > kBeginningBytes) {
          held_ = connection.shared_from_this();
        }
      };
      server->on_request = [](PeerConnection& connection, const HttpRequest& request) {
        connection.write(http_response("200 OK", "", std::to_string(request.body().size())));
      };
    }
    test_bed_.add_persisted_endpoint(listed_endpoint("a", first));
    test_bed_.add_persisted_endpoint(listed_endpoint("b", second));
    test_bed_.start();
  }

  std::optional<HttpResponse> run(const BodyFraming& framing,
                                  const std::function<void(PeerConnection&)>& fail, int steps) {
    Client client = test_bed_.client();
    client.send(post_head(framing.header));
    test_bed_.io.poll();  // else the first read would end within the beginning
    client.send(framing.beginning);
    EXPECT_TRUE(test_bed_.run_until([&] { return held_ != nullptr; }));
    test_bed_.io.poll();  // the attempt requests the next piece of the body
    fail(*held_);
    for (int step = 0; step < steps; ++step) {
      test_bed_.io.restart();
      test_bed_.io.poll_one();
    }
    client.send(framing.rest);
    return client.receive();
  }

 private:
  GatewayTestBed test_bed_;
  std::shared_ptr<PeerConnection> held_;

 public:
  FakeServer first{test_bed_.io};
  FakeServer second{test_bed_.io};
};

// Every server runs only the complete request, and at most one server runs it.
void expect_only_complete_requests(const RetryTrial& trial) {
  std::size_t runs = 0;
  for (const FakeServer* server : {&trial.first, &trial.second}) {
    for (const HttpRequest& request : server->requests) {
      ++runs;
      EXPECT_EQ(request["X-Trace-Id"], "t");
      EXPECT_TRUE(request.body() == std::string(kBeginningBytes, 'a') + kRest);
    }
  }
  EXPECT_LE(runs, 1U);
}

void expect_every_retry_to_send_the_complete_body(
    const std::function<void(PeerConnection&)>& fail) {
  for (const BodyFraming& framing : body_framings()) {
    for (int steps = 0; steps < kMaxSteps; ++steps) {
      SCOPED_TRACE(framing.header + ", " + std::to_string(steps) + " steps");
      RetryTrial trial;
      const auto response = trial.run(framing, fail, steps);
      expect_only_complete_requests(trial);
      ASSERT_TRUE(response);
      EXPECT_EQ(response->result_int(), 200U);
      EXPECT_EQ(response->body(), std::to_string(kBeginningBytes + kRest.size()));
    }
  }
}

// Guards against a server that runs only the rest of a body, as a request that no client sent, or a
// body with a gap (review/1).
TEST(BodyRetry, ARetryAfterAResetSendsTheCompleteBody) {
  expect_every_retry_to_send_the_complete_body(
      [](PeerConnection& connection) { connection.reset(); });
}

// Guards against the same after a server has rejected the request before it had all of it.
TEST(BodyRetry, ARetryAfterAnEarlyRejectionSendsTheCompleteBody) {
  expect_every_retry_to_send_the_complete_body([](PeerConnection& connection) {
    connection.write(http_response("503 Busy", "X-Never-Ran: 1\r\n"));
  });
}

}  // namespace
}  // namespace quota_gateway::net::testing
