// Graceful shutdown: the gateway goes on accepting clients, answers every request before the
// process may be killed, then reports that it may exit. Owned by GatewayServer.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "net/client/client_listener.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/server/request_deadlines.hpp"
#include "net/server/request_table.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class ShutdownCoordinator {
 public:
  ShutdownCoordinator(EventLoop loop, const RequestTable& requests, RequestDeadlines& deadlines,
                      ClientListener& clients);

  // Starts to drain and calls `on_drained` once, from a timer. `classes`: their longest deadline
  // decides when the process may be killed. Does nothing if the shutdown has begun.
  void start(const std::vector<ClassSettings>& classes, std::function<void()> on_drained);
  bool is_started() const { return deadline_.has_value(); }

 private:
  void check_drained(Micros deadline);

  EventLoop loop_;
  const RequestTable& requests_;
  RequestDeadlines& deadlines_;
  ClientListener& clients_;
  std::function<void()> on_drained_;
  std::optional<Micros> deadline_;  // of all attempts; none: not started
};

}  // namespace quota_gateway::net
