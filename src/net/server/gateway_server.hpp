// One gateway: connects the decision module with clients, servers, discovery, the quota counter and
// the operators. Only wires; each concern is a module of its own in this folder or beside it. Owned
// by the program's main function, which runs the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "net/admin/admin_server.hpp"
#include "net/client/client_listener.hpp"
#include "net/config/gateway_config.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/event_loop/clock.hpp"
#include "net/event_loop/timers.hpp"
#include "net/server/action_executor.hpp"
#include "net/server/attempt_reporter.hpp"
#include "net/server/endpoint_list_applier.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/gateway_stats.hpp"
#include "net/server/handover_coordinator.hpp"
#include "net/server/message_streamer.hpp"
#include "net/server/request_deadlines.hpp"
#include "net/server/request_dispatcher.hpp"
#include "net/server/request_finisher.hpp"
#include "net/server/request_table.hpp"
#include "net/server/shutdown_coordinator.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class GatewayServer {
 public:
  // Serves once the loop runs. Throws std::exception if an address can't be listened on.
  GatewayServer(boost::asio::io_context& io, GatewayConfig config);

  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }
  // None: the configuration names no admin address.
  std::optional<boost::asio::ip::tcp::endpoint> admin_address() const;

  // Applies what may change while the gateway runs: the settings, and the addresses of discovery
  // and of the counter. The rest is ignored until a restart.
  void reload(const GatewayConfig& config);
  // Counts a new configuration that could not be used.
  void on_reload_rejected();
  // Goes on accepting, answers every request before the process may be killed, then calls
  // `on_drained`, once.
  void drain(std::function<void()> on_drained);

  // Endpoints are known, by discovery if it answers at all, and clients are accepted.
  bool is_ready() const;
  // For the operators, one line a figure: `app.NAME=VALUE`.
  std::string render_stats() const;

 private:
  AttemptEvents attempt_events();
  // Of the attempts that end by their deadline.
  std::function<void(AttemptKey, AttemptResult)> expiry_callback();
  ClientListenerCallbacks client_callbacks();
  EndpointListCallbacks endpoint_list_callbacks();
  DiscoveryCallbacks discovery_callbacks();
  void use_counter(const std::optional<boost::asio::ip::tcp::endpoint>& address);

  boost::asio::io_context& io_;
  Settings settings_;
  const Micros connect_timeout_;
  Clock clock_;
  Timers timers_;
  const EventLoop loop_;
  GatewayStats stats_;
  Gateway gateway_;
  EventBatcher events_;
  ActionExecutor executor_;
  RequestTable requests_;
  RequestFinisher finisher_;
  AttemptReporter reporter_;
  RequestDeadlines deadlines_;
  MessageStreamer streamer_;
  RequestDispatcher dispatcher_;
  EndpointListApplier endpoint_lists_;
  ConnectionPool pool_;
  boost::asio::ip::tcp::endpoint discovery_address_;
  std::optional<boost::asio::ip::tcp::endpoint> counter_address_;
  DiscoveryClient discovery_;
  ClientListener clients_;
  HandoverCoordinator handover_;
  ShutdownCoordinator shutdown_;
  std::optional<AdminServer> admin_;
};

}  // namespace quota_gateway::net
