// Holds a watch on discovery's endpoint list and reports each update. Owned by GatewayServer.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/discovery/discovery_outage_log.hpp"
#include "net/discovery/endpoint_list.hpp"
#include "net/discovery/list_intake.hpp"
#include "net/discovery/receive_limit.hpp"
#include "net/discovery/watch_disconnect.hpp"
#include "net/discovery/watch_liveness.hpp"
#include "net/discovery/watch_response_parser.hpp"
#include "net/discovery/watch_timing.hpp"
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
  // None: lists are pushed (see WatchMode). Else they are polled, and this is the longest backoff,
  // in us, while discovery rejects requests.
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
  void switch_agent(boost::asio::ip::tcp::endpoint agent);

 private:
  // Counts connections and disconnections; handlers of earlier generations do nothing.
  using Generation = int;

  void connect();
  void send_request(Generation generation);
  void read(Generation generation);
  void on_read(std::size_t size);

  void on_bytes(std::string_view bytes);
  [[noreturn]] void on_request_rejected();
  void on_body(std::string_view piece);
  bool skip_separator(char byte);
  void on_list();
  void on_list_progress(std::size_t size);
  void on_healthy();

  void check_silence(Generation generation, Micros due);
  void check_list_deadline(Generation generation, int list_number, Micros due);

  void disconnect(const WatchDisconnect& cause);
  Micros reconnect_wait(const WatchDisconnect& cause, Micros now);
  Micros reject_list(const WatchDisconnect& cause, Micros now);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const WatchMode mode_;
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
  ReceiveLimit receive_limit_;
  WatchLiveness liveness_;
  std::optional<WatchResponseParser> response_;
  std::array<char, 16384> read_buffer_;
  std::string request_;

  ListIntake intake_;
  // After a watch that broke or was never established: a matter of this gateway.
  Backoff reconnect_backoff_;
  // After a rejection by a discovery that has no capacity, for any gateway.
  Backoff rejection_backoff_;
  // Until the next request, if this one was rejected.
  std::optional<Micros> rejection_wait_;
  DiscoveryOutageLog outage_log_;
};

}  // namespace quota_gateway::net
