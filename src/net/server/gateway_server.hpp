// One gateway: connects the decision module with clients, servers, discovery, the quota counter and
// the admin server. Contains only this wiring; each concern is a separate module in this directory
// or beside it. Owned by the program's main function, which runs the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "net/admin/admin_server.hpp"
#include "net/client/client_listener.hpp"
#include "net/config/gateway_config.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/event_loop/clock.hpp"
#include "net/event_loop/timers.hpp"
#include "net/memory/memory_budget.hpp"
#include "net/memory/memory_monitor.hpp"
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
#include "net/server/request_guard.hpp"
#include "net/server/request_table.hpp"
#include "net/server/shutdown_coordinator.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class GatewayServer {
 public:
  // Serves clients once the event loop runs and the address for clients can be listened on.
  // `memory`: that of the process, which is kept within the limit of the
  // configuration; null: it has no limit.
  GatewayServer(boost::asio::io_context& io, GatewayConfig config, ProcessMemory* memory = nullptr);

  // The address that clients connect to.
  boost::asio::ip::tcp::endpoint address() const { return clients_.address(); }
  // The address of the admin server. None: the configuration names none.
  std::optional<boost::asio::ip::tcp::endpoint> admin_address() const;

  // Applies the parts of the configuration that may change at run time: the settings and the
  // addresses of discovery and the counter. Other changes are ignored until a restart.
  void reload(const GatewayConfig& config);
  // Counts a reload that failed.
  void on_reload_rejected();
  // Takes up what an exception has interrupted, and counts it. Runs every 100 ms by a timer, and is
  // to be called after an exception that has left a handler.
  void resume_work();
  // Makes resume_work() also call `resume`, which returns whether it has taken something up.
  void resume_with(std::function<bool()> resume) { resume_owner_ = std::move(resume); }
  // Whether the timers work. If not, the caller must call resume_work() at intervals.
  bool has_timers() const { return timers_.is_wakeup_set(); }
  // Shuts down gracefully: continues to accept clients, answers every request before the process
  // may be killed, then calls `on_drained` once.
  void drain(std::function<void()> on_drained);

  // Whether the gateway serves clients: it accepts them, is not shutting down, and its first
  // endpoint list is completely applied and has an endpoint that is up.
  bool is_ready() const;
  // The metrics for operators, one line each: `app.NAME=VALUE`.
  std::string render_stats() const;

 private:
  AttemptEvents attempt_events();
  // Returns the callback for attempts that are ended at their deadline.
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
  MemoryBudget memory_;
  MemoryMonitor memory_monitor_;
  GatewayStats stats_;
  Gateway gateway_;
  EventBatcher events_;
  ActionExecutor executor_;
  RequestFinisher finisher_;
  AttemptReporter reporter_;
  RequestGuard guard_;
  RequestDeadlines deadlines_;
  MessageStreamer streamer_;
  RequestDispatcher dispatcher_;
  EndpointListApplier endpoint_lists_;
  ConnectionPool pool_;
  RequestTable requests_;  // owns attempts of the pool
  boost::asio::ip::tcp::endpoint discovery_address_;
  std::optional<boost::asio::ip::tcp::endpoint> counter_address_;
  DiscoveryClient discovery_;
  ClientListener clients_;
  HandoverCoordinator handover_;
  ShutdownCoordinator shutdown_;
  std::optional<AdminServer> admin_;
  std::function<bool()> resume_owner_ = [] { return false; };
};

}  // namespace quota_gateway::net
