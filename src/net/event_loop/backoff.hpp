// Exponential backoff with full jitter: the delay before each further attempt to connect or to
// repeat a request. Owned by the client that makes the attempts.
#pragma once

#include <cstdint>
#include <random>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Computes the delays for one sequence of attempts.
class Backoff {
 public:
  // The first delay is at most `initial_limit`, and no delay exceeds `max_limit`. Gateways must
  // pass different seeds, so that their delays differ.
  Backoff(Micros initial_limit, Micros max_limit, std::uint64_t seed);

  // Returns the delay before the next attempt and raises the limit for the following one.
  Micros next();
  // Resets the limit to its initial value. Call it after a success.
  void reset();

 private:
  const Micros initial_limit_;
  const Micros max_limit_;
  std::mt19937_64 random_;
  Micros limit_;
};

}  // namespace quota_gateway::net
