#include "policy/admission.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "policy/endpoints/load_balancer.hpp"
#include "policy/quota/demand_estimator.hpp"
#include "policy/quota/local_budget.hpp"
#include "policy/quota/quota_allocator.hpp"
#include "policy/quota/quota_capacity.hpp"
#include "policy/quota/rate_ceiling.hpp"
#include "policy/timer_table.hpp"

namespace quota_gateway::policy {
namespace {

// Utilization of the endpoints, 0 to 1, below which requests beyond the quota may be admitted.
constexpr double kMaxUtilizationForExcess = 0.25;
// A reservation from the ceiling pool covers at least this many seconds of the demand of the
// customer through this gateway, limited to the quota rate, to save counter calls.
constexpr double kReserveAheadSeconds = 0.5;
// Seconds of the counter call rate that a reservation may overdraw. Reservations from the ceiling
// pool take precedence, because the ceiling is a hard limit.
constexpr double kQuotaOverdraftSeconds = 0;
constexpr double kCeilingOverdraftSeconds = 1;

bool is_within_concurrency_limit(const CustomerState& customer) {
  const int limit = customer.plan->max_concurrent_attempts;
  return limit <= 0 || customer.attempts_in_progress < limit;
}

RejectionReason over_quota_reason(const CustomerState& customer) {
  if (!customer.counter_total.trusted_at) {
    return RejectionReason::kOverQuotaTotalUnknown;
  }
  const double demand = customer.demand.own + customer.demand.others;
  return demand < customer.quota_rate ? RejectionReason::kOverQuotaDemandWithinQuota
                                      : RejectionReason::kOverQuota;
}

}  // namespace

Admission::Admission(const Settings& settings, QuotaAllocator& quota, RateCeiling& rate_ceiling,
                     LoadBalancer& load_balancer, TimerTable& timers, RejectionCounts& rejections)
    : settings_(settings),
      quota_(quota),
      rate_ceiling_(rate_ceiling),
      load_balancer_(load_balancer),
      timers_(timers),
      rejections_(rejections),
      pools_(quota.counter_limiter()) {}

// A gateway that rarely receives requests of a customer learns its first total in time only if the
// request waits for it. If the ceiling does not admit the request, the demand is not reported now:
// the call limit may allow only one call, which a reservation from the ceiling pool needs.
bool Admission::waits_for_first_total(EventContext& context, Request& request) {
  CustomerState& customer = *request.customer;
  if (!rate_ceiling_.admits(context.now, customer, request.units)) {
    return false;
  }
  const bool first_total_is_pending = quota_.report_demand(context.now, customer, context.actions);
  if (!first_total_is_pending || !may_wait_for_counter(context.now, request)) {
    return false;
  }
  wait_for_counter(context, request, customer.counter_total.waiting_request_ids);
  return true;
}

AdmissionDecision Admission::decide(EventContext& context, Request& request) {
  const Micros now = context.now;
  CustomerState& customer = *request.customer;
  request.waiting_for_counter = false;
  advance_estimates(now, customer);
  const bool excess_admitted = is_excess_admitted(now, *customer.plan);
  const QuotaCheck quota = check_quota(context, request, excess_admitted);
  if (quota == QuotaCheck::kWaitForCounter) {
    return wait_for_counter(context, request, customer.quota_reservation.waiting_request_ids);
  }
  const bool within_quota =
      quota != QuotaCheck::kNotCovered && is_within_concurrency_limit(customer);
  const bool under_ceiling = rate_ceiling_.admits(now, customer, request.units);
  const bool passes_quota = within_quota || excess_admitted;
  if (passes_quota && !under_ceiling && try_reserve_from_ceiling_pool(context, request)) {
    return wait_for_counter(context, request, customer.ceiling_reservation.waiting_request_ids);
  }
  if (!under_ceiling) {
    return reject_over_ceiling(context, request, within_quota);
  }
  if (!passes_quota) {
    return reject(context, request, over_quota_reason(customer), 0);
  }
  request.over_quota = !within_quota;
  if (within_quota) {
    charge(request, quota);
  }
  return AdmissionDecision::kAdmitted;
}

std::vector<std::string> Admission::on_counter_reply(Micros now, const CounterReply& reply) {
  quota_.counter_limiter().on_reply(now, reply);
  const std::optional<PoolReply> reservation = pools_.on_reply(now, reply);
  if (!reservation) {
    CustomerState* const customer = quota_.on_counter_reply(now, reply);
    return customer ? std::exchange(customer->counter_total.waiting_request_ids, {})
                    : std::vector<std::string>();
  }
  CustomerState& customer = *reservation->customer;
  const SharedPool& pool = reservation->pool;
  if (reservation->is_usable && pool.kind == PoolKind::kQuota) {
    const Micros elapsed = std::max(pool.elapsed(now, customer), pool.window_length / 2);
    record_pool_total(now, customer, reply.total, elapsed);
  }
  return std::exchange(customer.reservation(pool.kind).waiting_request_ids, {});
}

Admission::QuotaCheck Admission::check_quota(EventContext& context, Request& request,
                                             bool excess_admitted) {
  const CustomerState& customer = *request.customer;
  if (is_sparse(settings_, customer)) {
    return check_shared_pool(context, request, excess_admitted);
  }
  return slice_covers(customer, request.quota_units) ? QuotaCheck::kWithinSlice
                                                     : QuotaCheck::kNotCovered;
}

// Sparse customers reserve units from the pool that all gateways share. Each request may try one
// reservation.
Admission::QuotaCheck Admission::check_shared_pool(EventContext& context, Request& request,
                                                   bool excess_admitted) {
  const Micros now = context.now;
  CustomerState& customer = *request.customer;
  const SharedPool pool = quota_pool(*customer.plan);
  const bool may_reserve = !request.reservation_tried && !excess_admitted;
  request.reservation_tried = true;
  if (pool.reserved(now, customer) >= request.units) {
    return QuotaCheck::kReserved;
  }
  if (pool.exhausted(now, customer) || (may_reserve && !quota_.should_reserve(customer))) {
    return QuotaCheck::kNotCovered;
  }
  if (may_reserve && may_wait_for_counter(now, request) &&
      pools_.reserve(now, customer, pool, request.units, kQuotaOverdraftSeconds, context.actions)) {
    return QuotaCheck::kWaitForCounter;
  }
  return quota_.covers_without_reservation(customer, request.units) ? QuotaCheck::kWithinSlice
                                                                    : QuotaCheck::kNotCovered;
}

void Admission::charge(Request& request, QuotaCheck quota) {
  CustomerState& customer = *request.customer;
  if (quota == QuotaCheck::kReserved) {
    request.charged_to = BudgetSource::kPoolReservation;
    charge_to(customer, BudgetSource::kPoolReservation, request.quota_units);
  } else {
    request.charged_to = charge_slice(customer, request.quota_units);
  }
}

// Requests beyond the quota may use spare endpoint capacity if they earn more than they cost.
bool Admission::is_excess_admitted(Micros now, const PlanSettings& plan) {
  return plan.over_quota_value > plan.over_quota_cost &&
         load_balancer_.utilization(now) < kMaxUtilizationForExcess;
}

// Reserves units from the ceiling pool, which may let the request pass. Returns whether a
// reservation is in flight to wait for.
bool Admission::try_reserve_from_ceiling_pool(EventContext& context, const Request& request) {
  const Micros now = context.now;
  if (!may_wait_for_counter(now, request) || !settings_.has_counter) {
    return false;
  }
  CustomerState& customer = *request.customer;
  const double demand = std::min(customer.demand.own, customer.quota_rate);
  const double units = std::max(request.units, demand * kReserveAheadSeconds);
  return pools_.reserve(now, customer, ceiling_pool(*customer.plan), units,
                        kCeilingOverdraftSeconds, context.actions);
}

// Whether the request may wait for the counter. Less than one call timeout must have passed since
// its arrival, so that all its waits together end after about one timeout, and the time left must
// exceed another timeout and two clock ticks.
bool Admission::may_wait_for_counter(Micros now, const Request& request) const {
  const Micros time_left = request.give_up_at - now;
  return now - request.arrived_at < settings_.counter_timeout &&
         time_left > settings_.counter_timeout + 2 * settings_.clock_tick;
}

AdmissionDecision Admission::wait_for_counter(EventContext& context, Request& request,
                                              std::vector<std::string>& waiting_ids) {
  request.waiting_for_counter = true;
  waiting_ids.push_back(request.id);
  const Micros decide_at = request.arrived_at + settings_.counter_timeout + settings_.clock_tick;
  timers_.arm(context, request, CounterWaitTimeout{}, decide_at);
  return AdmissionDecision::kWaitForCounter;
}

AdmissionDecision Admission::reject_over_ceiling(EventContext& context, const Request& request,
                                                 bool within_quota) {
  // Retry-After must cover the ceiling as well as the quota: a client with unspent quota would
  // otherwise be told to return immediately, and the ceiling would reject the request again.
  const Micros min_retry_after =
      rate_ceiling_.time_until_available(context.now, *request.customer, request.units);
  const RejectionReason reason =
      within_quota ? RejectionReason::kOverCeilingWithinQuota : RejectionReason::kOverCeiling;
  return reject(context, request, reason, min_retry_after);
}

AdmissionDecision Admission::reject(EventContext& context, const Request& request,
                                    RejectionReason reason, Micros min_retry_after) {
  rejections_.on_rejected(reason);
  const Micros retry_after =
      quota_.retry_after(*request.customer, request.quota_units,
                         request.request_class->settings.latency_objective, min_retry_after);
  context.emit(Reject{request.id, retry_after});
  return AdmissionDecision::kRejected;
}

}  // namespace quota_gateway::policy
