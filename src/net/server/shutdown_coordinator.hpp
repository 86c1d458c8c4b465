// Graceful shutdown: the gateway continues to accept clients, answers every request before the
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

  // Starts the shutdown and calls `on_drained` once, from a timer. The longest deadline of
  // `classes` determines when the process may be killed. Has no effect if the shutdown has begun
  // already. After an exception the shutdown has begun in part; another call completes that.
  void start(const std::vector<ClassSettings>& classes, std::function<void()> on_drained);
  bool is_started() const { return deadline_.has_value(); }

 private:
  void check_drained(Micros deadline);

  EventLoop loop_;
  const RequestTable& requests_;
  RequestDeadlines& deadlines_;
  ClientListener& clients_;
  std::function<void()> on_drained_;
  std::optional<Micros> deadline_;  // latest of all attempts; none: not started
  bool is_begun_ = false;           // each step of start() was completed
};

}  // namespace quota_gateway::net
