// Estimates how long a keep-alive connection may stay idle and still be safe to reuse. If a server
// or a middlebox has closed an idle connection without notice, the next request on it is reset. The
// request may have run, so if it has an idempotency key, it can then be retried only on servers
// that share the record of that key (see DedupScope). Such resets are the only evidence of how long
// idle connections stay usable. Owned by ConnectionPool; does no I/O and reads no clock.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Adapts the maximum idle time to observed responses and resets. All times are in microseconds.
class IdleReuseEstimator {
 public:
  // `server_idle_timeout`: idle time after which servers close a connection.
  explicit IdleReuseEstimator(Micros server_idle_timeout);

  // A connection that has been idle for this time or longer must not be reused.
  Micros max_idle() const { return max_idle_; }

  // Reports that a connection delivered a complete response to a request that was sent after
  // `idle_time`. Here and in on_reset(), 0 means the first request of a connection, which is
  // ignored.
  void on_response(Micros idle_time);

  // Reports that a connection broke before any byte of the response arrived, with the request sent
  // after `idle_time`.
  void on_reset(Micros idle_time);

 private:
  double upper_bound_;  // largest value of `max_idle_`
  Micros max_idle_;
};

}  // namespace quota_gateway::net
