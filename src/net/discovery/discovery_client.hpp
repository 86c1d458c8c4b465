// Holds a watch on discovery's endpoint list and reports each update. Owned by GatewayServer.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/discovery/endpoint_list.hpp"
#include "net/discovery/list_intake.hpp"
#include "net/event_loop/backoff.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct DiscoveryOptions {
  // The discovery agent.
  boost::asio::ip::tcp::endpoint agent;
  // Of the endpoint list that the gateway has already; the watch asks for what changed since.
  std::int64_t revision = 0;
  // Of the random draws of backoffs.
  std::uint64_t seed = 0;
  // None: lists are pushed by an agent beside this gateway, which answers at once and at no cost.
  // Else lists are polled, and this is the longest backoff, in us, while discovery rejects
  // requests.
  std::optional<Micros> max_rejection_backoff = std::nullopt;
  // What a list may take, and what rejected lists may cost.
  ListLimits limits = {};
};

struct DiscoveryCallbacks {
  // A list was accepted: a complete one, or changes to the one in force.
  std::function<void(EndpointList)> on_update;
  // The agent has sent some of a response with status 200, whether it holds a list or not. Called
  // for each piece, before an on_update from it.
  std::function<void()> on_response = [] {};
};

// Reconnects by itself, at the last revision that it has, until it is destroyed together with its
// event loop; the handlers of its timers refer to it.
class DiscoveryClient {
 public:
  DiscoveryClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                  DiscoveryOptions options, DiscoveryCallbacks callbacks);
  void start();
  // Watches another agent from now on. The list in force stays until the new agent has sent one.
  // Must not be called from within a callback.
  void move_to(boost::asio::ip::tcp::endpoint agent);

 private:
  enum class DisconnectReason {
    kAgentChanged,
    kConnectionFailed,
    kSilent,
    kWatchEnded,
    kRequestRejected,
    kInvalidResponse,
    kListTooLarge,
    kListUnfinished,
  };
  struct Disconnect {
    DisconnectReason reason = DisconnectReason::kConnectionFailed;
    // Of what failed, for the log.
    std::string detail;
  };
  class ResponseError;
  using HttpParser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  // Counts connections and disconnections; handlers of earlier generations do nothing.
  using Generation = int;

  void connect();
  void limit_receive_buffer(ListReadScope scope);
  void lift_receive_limit();
  void send_request(Generation generation);
  void read(Generation generation);
  void on_read(std::size_t size);

  void on_bytes(std::size_t size);
  void parse_http(std::size_t size);
  [[noreturn]] void on_request_rejected();
  void on_body(std::string_view piece);
  bool skip_separator(char byte);
  void on_list();

  Micros silence_limit() const;
  void check_silence(Generation generation, Micros due);
  void check_list_deadline(Generation generation, int list_number, Micros due);
  void on_healthy();

  void disconnect(const Disconnect& cause);
  Micros reconnect_wait(const Disconnect& cause, Micros now);
  Micros reject_list(const Disconnect& cause, Micros now);
  static bool needs_complete_list(DisconnectReason reason);
  static ListFailure list_failure(DisconnectReason reason);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const bool pushed_;
  const ListLimits limits_;
  const DiscoveryCallbacks callbacks_;
  boost::asio::ip::tcp::endpoint agent_;

  // Of the list in force.
  std::int64_t revision_ = 0;
  // Whether to ask for a complete list, rather than for what changed.
  bool request_complete_list_ = false;
  // Whether the agent may not know our revision.
  bool agent_changed_ = false;

  // The connection.
  Generation connection_generation_ = 0;
  boost::asio::ip::tcp::socket socket_;
  std::optional<HttpParser> parser_;
  std::array<char, 16384> read_buffer_;
  // Bytes that the HTTP parser has not consumed yet.
  std::string unparsed_;
  std::string request_;
  // Little of what this connection brings may be read.
  bool receive_limited_ = false;
  Micros last_heard_at_ = 0;
  // Whether some of a response has come on this connection.
  bool has_response_ = false;

  ListIntake intake_;
  // After a watch that broke or was never established: a matter of this gateway.
  Backoff reconnect_backoff_;
  // After a rejection by a discovery that has no capacity, for any gateway.
  Backoff rejection_backoff_;
  // Until the next request, if this one was rejected.
  std::optional<Micros> rejection_wait_;
  // None while the watch is healthy.
  std::optional<Micros> disconnected_at_;
  Micros last_logged_at_ = 0;
};

}  // namespace quota_gateway::net
