// Learns how long a keep-alive connection may stay idle and still be safe to reuse. A connection
// that the server, or a middlebox, closed without notice resets the next request. That request may
// have run, so one with an idempotency key can then no longer be retried on any server. How long
// connections last shows only in such resets. Owned by ConnectionPool; no I/O, no clock.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class IdleReuseEstimator {
 public:
  // `server_idle_timeout`: us after which servers close an idle connection.
  explicit IdleReuseEstimator(Micros server_idle_timeout);

  // Connections that have been idle for this many us, or longer, must not be reused.
  Micros max_idle() const { return max_idle_; }

  // A connection that had been idle for `idle_time` us before its request delivered the response.
  // In both calls 0 stands for a connection's first request, from which nothing is learned.
  void on_response(Micros idle_time);

  // Such a connection broke before any byte of the response arrived.
  void on_reset(Micros idle_time);

 private:
  double upper_bound_;
  Micros max_idle_;
};

}  // namespace quota_gateway::net
