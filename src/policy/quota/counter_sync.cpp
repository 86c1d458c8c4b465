#include "policy/quota/counter_sync.hpp"

#include "policy/quota/counter_key.hpp"
#include "policy/quota/quota_capacity.hpp"
#include "policy/time_units.hpp"

namespace quota_gateway::policy {
namespace {

// A customer's name at the counter serves so long, in us; with the next one a lost count is over.
constexpr Micros kEpochLength = 16 * kUpdatePeriod;
// The counter forgets a name that was not used for so long, in us.
constexpr Micros kNameLifetime = 2 * kEpochLength;

// The least time between two calls for a customer that spends fast, in us. In a period, all
// gateways may each spend the store that they see.
constexpr Micros kUrgentPeriod = kUpdatePeriod / 8;
// Unreported units, as a fraction of the burst, that count as spending fast.
constexpr double kUrgentBurstFraction = 0.1;

// A request of a customer with a known total needs a call less than the first one: so much of it.
constexpr double kKnownCustomerWeight = 0.25;

// Changes to the present epoch's name. What was asked before the epoch began is in no total of it.
void start_epoch(Micros now, std::int64_t epoch, Micros phase, CounterTotal& total) {
  total.rotation_window = epoch;
  total.value = 0;
  total.own_additions = 0;
  const Micros epoch_start = epoch * kEpochLength - phase;
  if (epoch_start > total.read_at) {
    total.assumed_others *= double(now - epoch_start) / double(now - total.read_at);
  }
  total.read_at = epoch_start;
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

// The fewer calls are available, the more requests must one report. Without this, customers that
// come now and then would use up what the counter bears.
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
  const Micros phase = window_phase(customer.key, kEpochLength);
  const std::int64_t epoch = (now + phase) / kEpochLength;
  if (epoch != total.rotation_window) {
    start_epoch(now, epoch, phase, total);
  }
  const std::int64_t key = counter_key(customer.key, CounterSeries::kDemandTotal, epoch);
  pending_[key] = {&customer, unreported.units};
  actions.emplace_back(AddToCounter{key, unreported.units, kNameLifetime});
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
