// What customers draw from pools that all their gateways share: a ceiling's part and thin quotas.
// Danger: the ceiling is a rule, and no total is young enough to tell what others send on at this
// moment. Danger: even parts alone refuse a customer inside its quota whose traffic comes through
// one gateway, or who was just met: a part starts empty, for a predecessor may have spent it. So
// even parts share kEvenCeiling of it, and the rest is a pool.
#pragma once

#include "policy/quota/quota_allocator.hpp"

namespace quota_gateway::policy {

constexpr double kEvenCeiling =
    0.5;  // of a ceiling, in even parts; the rest is drawn from the counter
constexpr double kDrawAhead = 0.5;  // s of what the slice lets through that one draw takes ahead
constexpr double kQuotaPool = 1;    // of a burst
constexpr std::uint64_t kCeilingNames = 0xce1115,
                        kQuotaNames = 0x90074;  // apart from those of totals

// A span of t touches t / length + 2 windows; with half the burst over the rate as a window, it
// holds as much.
inline SharedPool<CustomerState> ceiling_pool(const PlanSettings& p) {
  return {&CustomerState::of_ceiling, kCeilingNames, (1 - kEvenCeiling) * p.ceiling_burst / 2,
          std::max<Micros>(1, Micros(p.ceiling_burst / 2 / p.ceiling_rate * kSecond))};
}
inline SharedPool<CustomerState> quota_pool(const PlanSettings& p) {
  return {&CustomerState::of_quota, kQuotaNames, kQuotaPool * p.quota_burst,
          std::max<Micros>(1, Micros(kQuotaPool * p.quota_burst / p.quota_rate * kSecond))};
}

class RateCeiling {
 public:
  explicit RateCeiling(const Settings& settings) : settings_(settings) {}

  bool covers(Micros now, CustomerState& c, double units) const {
    const PlanSettings& p = *c.plan;
    if (p.ceiling_rate <= 0) {
      return true;
    }
    const double fill = part(c) * p.ceiling_rate * double(now - c.ceiling_at) / kSecond;
    c.ceiling = std::min(part(c) * p.ceiling_burst, c.ceiling + fill);
    c.ceiling_at = now;
    return c.ceiling + ceiling_pool(p).reserved(now, c) >= units;
  }

  // How long until our part will have filled enough, or a new window has a pool to draw from.
  Micros room_in(Micros now, const CustomerState& c, double units) const {
    const double fill = part(c) * c.plan->ceiling_rate;
    const auto filled = Micros(std::max(0.0, units - c.ceiling) / fill * kSecond);
    if (!settings_.has_counter || !c.of_ceiling.drained) {
      return filled;
    }
    const auto pool = ceiling_pool(*c.plan);
    return std::min(filled, pool.length - pool.since(now, c));
  }

  void take(Micros now, CustomerState& c, double units) const {
    if (c.plan->ceiling_rate <= 0) {
      return;
    }
    const double drawn = std::min(ceiling_pool(*c.plan).reserved(now, c), units);
    c.of_ceiling.reserved -= drawn;
    c.ceiling -= units - drawn;
  }

 private:
  double part(const CustomerState& c) const {
    return (settings_.has_counter ? kEvenCeiling : 1) / c.gateway_subset_size;
  }
  const Settings& settings_;
};

}  // namespace quota_gateway::policy
