// Detects a silent watch. A connection can break without an error, and an agent can accept a
// connection and never respond. Owned by DiscoveryClient; no I/O, no clock.
#pragma once

#include <optional>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class WatchLiveness {
 public:
  // `response_timeout`: time from the start of connecting to the first byte of the response, us.
  explicit WatchLiveness(Micros response_timeout) : response_timeout_(response_timeout) {}

  void on_connecting(Micros now);
  void on_received(Micros now);

  // `due`: the time for which this check was scheduled. Returns the time of the next check, or no
  // value if the watch has been silent for too long.
  std::optional<Micros> check(Micros now, Micros due);

 private:
  Micros max_silence() const;

  const Micros response_timeout_;
  // When data was last received, or when connecting began if there was none.
  Micros last_received_at_ = 0;
  // Whether any byte of a response has been received on this connection.
  bool has_response_ = false;
};

}  // namespace quota_gateway::net
