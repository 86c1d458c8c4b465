#include "net/event_loop/backoff.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// The limit quadruples with each attempt. When it doubled, up to 1 s, a fleet with rejected
// requests repeated them so often that the link to discovery stayed full and no request was ever
// served.
constexpr Micros kGrowthFactor = 4;

}  // namespace

Backoff::Backoff(Micros initial_limit, Micros max_limit, std::uint64_t seed)
    : initial_limit_(initial_limit), max_limit_(max_limit), random_(seed), limit_(initial_limit) {}

// The delay is drawn uniformly from zero to the limit. With equal delays, gateways that started or
// lost a connection simultaneously would also repeat their attempts simultaneously.
Micros Backoff::next() {
  const Micros limit = limit_;
  limit_ = std::min(kGrowthFactor * limit_, max_limit_);
  return std::uniform_int_distribution<Micros>(0, limit)(random_);
}

void Backoff::reset() {
  limit_ = initial_limit_;
}

}  // namespace quota_gateway::net
