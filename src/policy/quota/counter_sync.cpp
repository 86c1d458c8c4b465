#include "policy/quota/counter_sync.hpp"

#include "policy/quota/counter_key.hpp"
#include "policy/quota/quota_capacity.hpp"
#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// How long a customer's counter key is in use, us. The next key starts a new count, which ends the
// effect of a lost count.
constexpr Micros kRotationWindowLength = 16 * kUpdatePeriod;
// How long the counter keeps a key after its last use, us.
constexpr Micros kKeyTimeToLive = 2 * kRotationWindowLength;

// Minimum time between two calls for a customer that spends fast, us. Between two totals, a
// gateway does not see which tokens the others have spent, so with rare calls all gateways together
// could exceed the quota.
constexpr Micros kUrgentPeriod = kUpdatePeriod / 8;
// Unreported units, as a fraction of the burst, that count as spending fast.
constexpr double kUrgentBurstFraction = 0.1;

// Weight of a request of a customer with a known total in the decision about a call; the requests
// before the first total have a weight of 1.
constexpr double kKnownCustomerWeight = 0.25;

// Switches to the counter key of the present rotation window. The totals of this key do not contain
// demand from before the window began, so `assumed_others` is reduced in proportion.
void start_rotation_window(Micros now, std::int64_t rotation_window, Micros phase,
                           CounterTotal& total) {
  total.rotation_window = rotation_window;
  total.value = 0;
  total.own_additions = 0;
  const Micros window_start = rotation_window * kRotationWindowLength - phase;
  if (window_start > total.read_at) {
    total.assumed_others *= double(now - window_start) / double(now - total.read_at);
  }
  total.read_at = window_start;
}

}  // namespace

bool CounterSync::report_demand(Micros now, CustomerState& customer, std::vector<Action>& actions) {
  const bool is_known = customer.counter_total.trusted_at.has_value();
  if (!settings_.has_counter || customer.quota_rate <= 0 || customer.unreported.units <= 0 ||
      is_sparse(settings_, customer)) {
    return false;
  }
  if (!is_known && customer.counter_total.calls_in_flight > 0) {
    return !limiter_.is_counter_down();
  }
  limiter_.refill(now);
  if (!is_call_due(now, customer)) {
    return false;
  }
  limiter_.take();
  send_call(now, customer, actions);
  return !is_known && !limiter_.is_counter_down();
}

// The fewer calls are available, the more requests a call must report. Otherwise, customers with
// occasional requests would use up the calls that the counter can serve.
bool CounterSync::is_call_due(Micros now, const CustomerState& customer) const {
  const CounterTotal& total = customer.counter_total;
  const UnreportedDemand& unreported = customer.unreported;
  const bool is_known = total.trusted_at.has_value();
  const double available = limiter_.available();
  const double capacity = limiter_.capacity();

  const bool spends_fast = unreported.units >= kUrgentBurstFraction * quota_burst(customer);
  const bool is_urgent = spends_fast && 2 * available > capacity;
  const Micros period = is_urgent ? kUrgentPeriod : kUpdatePeriod;
  if (total.calls_in_flight > 0 || (is_known && now - total.last_call_at < period)) {
    return false;
  }
  const double need = unreported.requests * (is_known ? kKnownCustomerWeight : 1);
  return available >= 1 && need >= capacity / available - (1 - kKnownCustomerWeight);
}

void CounterSync::send_call(Micros now, CustomerState& customer, std::vector<Action>& actions) {
  CounterTotal& total = customer.counter_total;
  UnreportedDemand& unreported = customer.unreported;
  const Micros phase = window_phase(customer.key, kRotationWindowLength);
  const std::int64_t rotation_window = (now + phase) / kRotationWindowLength;
  if (rotation_window != total.rotation_window) {
    start_rotation_window(now, rotation_window, phase, total);
  }
  const std::int64_t key = counter_key(customer.key, CounterSeries::kDemandTotal, rotation_window);
  pending_[key] = {&customer, unreported.units};
  actions.emplace_back(AddToCounter{key, unreported.units, kKeyTimeToLive});
  unreported.units = 0;
  unreported.requests = 0;
  total.last_call_at = now;
  ++total.calls_in_flight;
}

CustomerState* CounterSync::on_reply(Micros now, Micros gateway_started_at,
                                     const CounterReply& reply) {
  const auto call = pending_.extract(reply.key);
  if (call.empty()) {
    return nullptr;
  }
  const PendingCall pending = call.mapped();
  CustomerState& customer = *pending.customer;
  --customer.counter_total.calls_in_flight;
  if (reply.outcome == CounterOutcome::kNotAdded) {
    customer.unreported.units += pending.units;
  }
  if (reply.outcome == CounterOutcome::kOk) {
    total_estimator_.on_total(now, gateway_started_at, customer, reply.total, pending.units);
  }
  return &customer;
}

}  // namespace quota_gateway::policy
