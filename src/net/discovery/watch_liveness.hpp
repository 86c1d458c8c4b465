// Detects a watch that is silent: it can break without a sign of it, and an agent can accept a
// connection and never respond. Owned by DiscoveryClient; no I/O, no clock.
#pragma once

#include <optional>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class WatchLiveness {
 public:
  // `response_timeout`: from connecting to the first byte of a response, us.
  explicit WatchLiveness(Micros response_timeout) : response_timeout_(response_timeout) {}

  void on_connecting(Micros now);
  void on_received(Micros now);

  // `due`: when this check was to be made. Returns when to make the next one, or none if the watch
  // has been silent for too long.
  std::optional<Micros> check(Micros now, Micros due);

 private:
  Micros max_silence() const;

  const Micros response_timeout_;
  // Or when connecting began.
  Micros last_heard_at_ = 0;
  // Whether some of a response has come on this connection.
  bool has_response_ = false;
};

}  // namespace quota_gateway::net
