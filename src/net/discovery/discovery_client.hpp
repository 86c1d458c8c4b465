// Watches discovery's endpoint list and reports each update. Owned by GatewayServer.
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
  // Address of the discovery agent.
  boost::asio::ip::tcp::endpoint agent;
  // Revision of the endpoint list that the gateway already has. The watch requests the changes
  // since this revision.
  std::int64_t revision = 0;
  // Seed of the random backoffs.
  std::uint64_t seed = 0;
  // Without a value, lists are pushed (see WatchMode). With a value, lists are polled, and the
  // value is the longest backoff while discovery rejects requests, in us.
  std::optional<Micros> max_rejection_backoff = std::nullopt;
  // Size limits of a list and limits on the traffic that rejected lists cause.
  ListLimits limits = {};
};

struct DiscoveryCallbacks {
  // Called with each accepted list, which is either complete or holds changes to the list in force.
  std::function<void(EndpointList)> on_update;
  // Called for each received piece of a response with status 200, whether it contains a list or
  // not, and before the on_update calls for that piece.
  std::function<void()> on_response = [] {};
};

// Reconnects automatically and resumes the watch at the last accepted revision. Must live as long
// as the event loop runs, because the handlers of its timers refer to it.
class DiscoveryClient {
 public:
  DiscoveryClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                  DiscoveryOptions options, DiscoveryCallbacks callbacks);
  void start();
  // Disconnects from the current agent and watches another one. The list in force stays until the
  // new agent has sent a list. Must not be called from within a callback.
  void switch_agent(boost::asio::ip::tcp::endpoint agent);

  // Reconnects or checks the watch if an exception has prevented the timer for that. Returns
  // whether it had.
  bool resume();

 private:
  // Incremented by each connect and disconnect. Handlers of earlier generations do nothing.
  using Generation = int;

  void connect();
  void begin_connection(Generation generation, Micros now);
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

  // Revision of the list in force.
  std::int64_t revision_ = 0;
  // Whether to request a complete list instead of the changes since revision_.
  bool request_complete_list_ = false;
  // Whether the agent was replaced and has not sent a complete list yet. The new agent may not know
  // revision_.
  bool agent_changed_ = false;

  // When the next connection begins, while there is none.
  std::optional<Micros> reconnect_at_;
  // When the next check for silence is due, while there is a connection.
  Micros silence_check_at_ = 0;

  // State of the current connection.
  Generation connection_generation_ = 0;
  boost::asio::ip::tcp::socket socket_;
  ReceiveLimit receive_limit_;
  WatchLiveness liveness_;
  std::optional<WatchResponseParser> response_;
  std::array<char, 16384> read_buffer_;
  std::string request_;

  ListIntake intake_;
  // Backoff after a watch that broke or could not be established, which concerns only this gateway.
  Backoff reconnect_backoff_;
  // Backoff after discovery has rejected a request. Discovery then lacks capacity for all gateways.
  Backoff rejection_backoff_;
  // Wait before the next request, us, if the current one was rejected.
  std::optional<Micros> rejection_wait_;
  DiscoveryOutageLog outage_log_;
};

}  // namespace quota_gateway::net
