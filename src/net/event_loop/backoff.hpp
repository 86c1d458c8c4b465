// Exponential backoff with full jitter: how long a client waits before each further attempt to
// connect or to ask again. The client that makes the attempts owns its backoff.
#pragma once

#include <cstdint>
#include <random>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class Backoff {
 public:
  // The first delay is at most `initial_limit`, none is more than `max_limit`. `seed` differs
  // between gateways, so that their delays do.
  Backoff(Micros initial_limit, Micros max_limit, std::uint64_t seed);

  // Delay before the next attempt. Raises the limit for the one after it.
  Micros next();
  // After a success: the next delay is as short as the first.
  void reset();

 private:
  const Micros initial_limit_;
  const Micros max_limit_;
  std::mt19937_64 random_;
  Micros limit_;
};

}  // namespace quota_gateway::net
