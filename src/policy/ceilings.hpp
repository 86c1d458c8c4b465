// Danger: the ceiling is a rule, and no total is young enough to tell what others send on at this moment.
// Danger: even parts alone refuse a customer inside its quota whose traffic comes through one gateway, or who
// was just met: a part starts empty, for a predecessor may have spent it. So even parts share kEvenCeiling of
// it. The rest is drawn from the counter: under a name for the customer and this window each gateway adds
// what it is about to send on, and what lies within the window's pool is its own until the window ends. A
// span of t touches t / window + 2 windows; with half the burst over the rate as a window, it holds as much.
#pragma once

#include "policy/quota.hpp"

namespace cottonroad::policy {

constexpr double kEvenCeiling = 0.5;  // of a ceiling, in even parts; the rest is drawn from the counter
constexpr double kDrawAhead = 0.5;    // s of what the slice lets through that one draw takes ahead
constexpr std::uint64_t kCeilingNames = 0xce1115;  // sets names of draws apart from those of totals

class Ceilings {
 public:
  explicit Ceilings(const Settings& settings) : settings_(settings) {}

  bool covers(Micros now, Customer& c, double units) const {
    const PlanSettings& p = *c.plan;
    if (p.ceiling_rate <= 0) return true;
    const double fill = part(c) * p.ceiling_rate * double(now - c.ceiling_at) / kSecond;
    c.ceiling = std::min(part(c) * p.ceiling_burst, c.ceiling + fill);
    c.ceiling_at = now;
    return c.ceiling + (c.window == window(now, c) ? c.reserved : 0) >= units;
  }

  // How long until our part will have filled enough, or a new window has a pool to draw from.
  Micros room_in(Micros now, const Customer& c, double units) const {
    const double fill = part(c) * c.plan->ceiling_rate;
    const auto filled = Micros(std::max(0.0, units - c.ceiling) / fill * kSecond);
    if (!settings_.has_counter || !c.drained) return filled;
    return std::min(filled, length(c) - (now + phase(c)) % length(c));
  }

  void take(Micros now, Customer& c, double units) const {
    if (c.plan->ceiling_rate <= 0) return;
    const double drawn = c.window == window(now, c) ? std::min(c.reserved, units) : 0;
    c.reserved -= drawn;
    c.ceiling -= units - drawn;
  }

  // Draws what the request needs and what the slice lets through soon. False if there is nothing to wait for.
  template <typename MayCall>
  bool draw(Micros now, Customer& c, double units, MayCall may_call, std::vector<Action>& out) {
    if (!settings_.has_counter) return false;
    if (c.reserving) return true;
    const std::int64_t w = window(now, c);
    if ((c.window == w && c.drained) || !may_call()) return false;
    if (std::exchange(c.window, w) != w) c.reserved = 0, c.drained = false;
    const double amount = std::max(units, std::min(c.own, c.rate) * kDrawAhead);
    const auto name = std::int64_t(mix(c.key ^ mix(kCeilingNames ^ std::uint64_t(w))) >> 2);
    pending_[name] = {&c, amount, w};
    c.reserving = true;
    out.push_back(AddToCounter{name, amount, std::max<Micros>(kSecond, 2 * length(c))});
    return true;
  }

  // Returns the customer, if the call was one of ours. What may or may not have been added is not used.
  Customer* answered(Micros now, const CounterAnswered& a) {
    const auto call = pending_.extract(a.name);
    if (call.empty()) return nullptr;
    const Draw& d = call.mapped();
    Customer& c = *d.customer;
    c.reserving = false;
    if (a.outcome != CountOutcome::kOk || d.window != window(now, c)) return &c;
    const double over = std::max(0.0, a.total - (1 - kEvenCeiling) * c.plan->ceiling_burst / 2);
    c.reserved += std::max(0.0, d.amount - over);
    c.drained = over > 0;
    return &c;
  }

 private:
  struct Draw {
    Customer* customer = nullptr;  // kept while it is `reserving`
    double amount = 0;
    std::int64_t window = 0;
  };
  static Micros length(const Customer& c) {
    return std::max<Micros>(1, Micros(c.plan->ceiling_burst / 2 / c.plan->ceiling_rate * kSecond));
  }
  // All gateways change windows at once, at times spread over the customers.
  static Micros phase(const Customer& c) { return Micros(c.key % std::uint64_t(length(c))); }
  static std::int64_t window(Micros now, const Customer& c) { return (now + phase(c)) / length(c); }
  double part(const Customer& c) const { return (settings_.has_counter ? kEvenCeiling : 1) / c.set_size; }

  const Settings& settings_;
  std::unordered_map<std::int64_t, Draw> pending_;  // looked up by name, never walked
};

}  // namespace cottonroad::policy
