#include "net/event_loop/backoff.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// With a limit that doubled up to 1 s, a fleet whose requests were rejected repeated them at a rate
// that kept the link to discovery full, and none of them was ever served.
constexpr Micros kGrowthFactor = 4;

}  // namespace

Backoff::Backoff(Micros initial_limit, Micros max_limit, std::uint64_t seed)
    : initial_limit_(initial_limit), max_limit_(max_limit), random_(seed), limit_(initial_limit) {}

// Drawn from zero up to the limit: with equal delays, gateways that started or lost a connection at
// the same moment would repeat their attempts at the same moments.
Micros Backoff::next() {
  const Micros limit = limit_;
  limit_ = std::min(kGrowthFactor * limit_, max_limit_);
  return std::uniform_int_distribution<Micros>(0, limit)(random_);
}

void Backoff::reset() {
  limit_ = initial_limit_;
}

}  // namespace quota_gateway::net
