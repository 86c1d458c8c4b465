// Coordinates a hot restart: decides, as processes of this gateway start and end, which of them
// accepts new clients, and divides the limits on connections and memory between them. Owned by
// GatewayServer; HotRestart transports the messages between the processes.
#pragma once

#include <cstddef>

#include "net/client/client_listener.hpp"
#include "net/config/gateway_config.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/event_loop/log_rate_limit.hpp"
#include "net/hot_restart/hot_restart.hpp"
#include "net/memory/memory_budget.hpp"
#include "net/server/endpoint_list_applier.hpp"
#include "net/server/event_batcher.hpp"
#include "net/upstream/connection_pool.hpp"

namespace quota_gateway::net {

class HandoverCoordinator {
 public:
  // The modules that are affected when processes start or end.
  struct Collaborators {
    ConnectionPool& pool;
    ClientListener& clients;
    MemoryBudget& memory;
    EventBatcher& events;
    const EndpointListApplier& endpoint_lists;
  };
  // `max_connections` is the limit on connections to servers for all processes of this gateway
  // together.
  HandoverCoordinator(EventLoop loop, const GatewayConfig& config, Collaborators collaborators,
                      std::size_t max_connections);

  // Listens for clients, on the socket of the parent process if there is one. While the address
  // cannot be listened on, tries again at intervals.
  void start();
  // Starts to accept clients in place of the parent process, if there is one, once the endpoint
  // list is ready.
  void replace_parent_if_ready();

 private:
  void listen();
  void on_listening();
  void on_processes_changed();

  EventLoop loop_;
  ConnectionPool& pool_;
  ClientListener& clients_;
  MemoryBudget& memory_;
  EventBatcher& events_;
  const EndpointListApplier& endpoint_lists_;
  const boost::asio::ip::tcp::endpoint listen_address_;
  const std::size_t max_connections_;
  HotRestart hot_restart_;
  LogRateLimit listen_log_limit_;
  int peer_count_ = 0;  // as last reported to the decision module
};

}  // namespace quota_gateway::net
