// Clients and servers that check what happens to each request: it gets one response in time and
// with the body that its server made for it, and no attempt begins after its end. They run in the
// event loop of the test.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "support/fake_server.hpp"
#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

// How late the event loop of the test runs its handlers, which makes events look late.
class LoopLag {
 public:
  explicit LoopLag(asio::io_context& io);
  // How late the loop is now: the time since the measurement that should have run by now.
  milliseconds overdue() const;
  // The largest lag of the last second or so.
  milliseconds recent() const { return std::max(previous_, current_); }

 private:
  void measure();

  asio::steady_timer timer_;
  SteadyTime due_;
  milliseconds previous_{0};
  milliseconds current_{0};
  int measurements_ = 0;
};

// Collects what happens to all requests of a test.
class RequestAudit {
 public:
  explicit RequestAudit(asio::io_context& io) : lag_(io) {}

  // Returns the id of a new request, which a client sends to the gateway with that number.
  std::string add(int gateway);
  // An attempt has come whole to the server with that number.
  void on_attempt(const std::string& id, int server);
  // The server of the latest attempt begins to run the request. One that is not idempotent may not
  // be run again.
  void on_run(const std::string& id, bool is_idempotent);
  void on_response(const std::string& id, int status, const std::string& body);
  // The client has left, or its connection was ended by a kill.
  void on_left(const std::string& id);
  // The request counts as lost.
  void on_lost(const std::string& id, const std::string& reason);
  bool was_forwarded(const std::string& id) const { return requests_.at(id).attempts > 0; }
  milliseconds lag() const { return lag_.recent(); }

  int answered() const { return answered_; }
  int served() const { return served_; }
  int lost() const { return lost_; }
  // The largest number of responses of one server that one gateway has delivered to other requests.
  int most_foreign_responses() const;
  // One line for each lost request.
  const std::string& failures() const { return failures_; }
  // The body of each response to a request.
  static std::string body_of(const std::string& id);

 private:
  struct AuditedRequest {
    int gateway = 0;
    int server = 0;  // of the latest attempt
    int attempts = 0;
    int runs = 0;
    std::optional<SteadyTime> ended_at;
  };

  using ServerAndGateway = std::pair<int, int>;

  void on_foreign_response(const AuditedRequest& request, const std::string& body);

  LoopLag lag_;
  std::map<std::string, AuditedRequest> requests_;
  std::map<ServerAndGateway, int> foreign_responses_;
  int answered_ = 0;
  int served_ = 0;
  int lost_ = 0;
  std::string failures_;
};

// The gateway process that a client uses. It changes as the process is ended and started again.
struct GatewayState {
  int number = 0;
  std::uint16_t port = 0;
  int kills = 0;             // a connection that was open during a kill ends without a response
  bool is_accepting = true;  // whether clients open new connections
  bool is_draining = false;
  bool breaks_responses = false;  // connections to servers break, also in the middle of a response
};

// One client, which sends requests until it is stopped: one at a time or several at once, and
// leaves before some responses.
class AuditedClient : public std::enable_shared_from_this<AuditedClient> {
 public:
  struct Behavior {
    bool sends_several = false;
    bool leaves = false;
    milliseconds max_timeout{2'000};
    milliseconds max_pause{20};  // between a response and the next request
  };
  AuditedClient(asio::io_context& io, RequestAudit& audit, const GatewayState& gateway,
                Behavior behavior, unsigned seed);

  void start() { next_exchange(); }
  // Sends no further requests.
  void stop() { is_stopped_ = true; }

 private:
  struct Pending {
    std::string id;
    milliseconds timeout;
    SteadyTime answer_by;
  };

  void schedule(milliseconds delay, void (AuditedClient::*step)());
  void next_exchange();
  void connect();
  void send_requests();
  std::string add_request();
  void read_response();
  void on_response();
  void on_disconnected();
  void check_time();
  void leave();
  void cancel_step();
  void disconnect();
  int draw(int limit) { return int(random_() % unsigned(limit)); }

  asio::io_context& io_;
  RequestAudit& audit_;
  const GatewayState& gateway_;
  const Behavior behavior_;
  std::mt19937 random_;
  asio::steady_timer timer_;  // of the one step that is scheduled
  int scheduled_steps_ = 0;
  asio::steady_timer time_check_;
  std::shared_ptr<tcp::socket> socket_;  // null: not connected
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::deque<Pending> pending_;
  int responses_on_connection_ = 0;
  int kills_at_connect_ = 0;
  std::string output_;
  bool is_stopped_ = false;
};

// How a server behaves.
struct ServerBehavior {
  int number = 0;
  double fault_rate = 0;  // share of the requests that it does not answer as it should
  // Share of its responses that it sends a second time, after at most `max_second_delay`.
  double second_response_rate = 0;
  milliseconds max_second_delay{0};
  // Connections that it holds; requests on further ones are rejected (503) and the connection is
  // closed. 0: no limit.
  std::size_t max_connections = 0;
};

// A server that answers requests in the ways that its fault rate draws.
class AuditedServer {
 public:
  AuditedServer(asio::io_context& io, RequestAudit& audit, ServerBehavior behavior, unsigned seed);
  const Listener& listener() const { return server_; }
  // The number of connections that the gateways have opened.
  std::size_t connections() const { return server_.peers.size(); }
  std::size_t requests() const { return server_.requests.size(); }
  // Requests that were rejected because their connection was one too many.
  std::size_t rejected_connections() const { return rejected_connections_; }
  bool is_sound() const { return behavior_.second_response_rate == 0; }

 private:
  void respond(PeerConnection& peer, const HttpRequest& request);
  bool holds(PeerConnection& peer);
  void write_later(PeerConnection& peer, std::string text, milliseconds delay, bool closes);
  void write_again(PeerConnection& peer, const std::string& text, milliseconds delay);
  bool draw(double rate) { return std::uniform_real_distribution<double>(0, 1)(random_) < rate; }

  asio::io_context& io_;
  RequestAudit& audit_;
  const ServerBehavior behavior_;
  std::mt19937 random_;
  FakeServer server_;
  std::vector<std::shared_ptr<PeerConnection>> held_;  // used if there is a limit
  std::size_t rejected_connections_ = 0;
};

}  // namespace quota_gateway::net::testing
