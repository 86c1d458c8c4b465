#include "policy/endpoints/load_balancer.hpp"

#include <cmath>
#include <utility>

#include "policy/time_units.hpp"
#include "util/decaying_mean.hpp"
#include "util/random.hpp"
#include "util/string_concat.hpp"

namespace quota_gateway::policy {
namespace {

// Endpoints compared per pick, in addition to this gateway's share of the healthy endpoints.
constexpr int kMinSampleSize = 2;

// Maximum share of one endpoint in the attempts in flight, relative to an even share.
constexpr double kMaxShareFactor = 1.6;

// Multiplies the cost of an endpoint in another zone, which has a longer network path.
constexpr double kOtherZoneCostFactor = 1.08;

// Multiplies the cost of an ejected endpoint when too many are ejected: such an endpoint is picked
// only if there is no other.
constexpr double kLastResortFactor = 1e6;

// us. Load reports decay with this time constant.
constexpr Micros kLoadReportTimeConstant = 1'000'000;

// Minimum relative duration that a failed attempt counts for, so that an endpoint that returns
// errors immediately does not appear fast.
constexpr double kMinFailedRelativeDuration = 10;

constexpr Micros kMinRetention = 64 * kUpdatePeriod;

// Whether the attempt is evidence that its endpoint is faulty.
bool is_failure(const AttemptResult& result) {
  switch (result.outcome) {
    case Outcome::kOk:
    case Outcome::kOverloaded:
    case Outcome::kNotSent:
    case Outcome::kCancelled:
      return result.cancelled_as_stalled;
    default:
      return true;
  }
}

// Whether the attempt's duration indicates how long its endpoint takes to respond.
bool has_valid_duration(const AttemptResult& result) {
  return result.outcome == Outcome::kOk || result.outcome == Outcome::kTimeout ||
         result.cancelled_as_stalled;
}

void apply_load_report(Micros now, Endpoint& endpoint, const LoadReport& load) {
  if (load.in_flight >= 0.0) {
    const double others = *load.in_flight - endpoint.attempts_in_flight - 1;
    endpoint.reported_load = {std::max(0.0, others), now};
  } else if (load.queued >= 0.0) {
    endpoint.reported_load = {*load.queued, now};
  }
}

double attempts_of_others(Micros now, const Endpoint& endpoint) {
  const ReportedLoad& load = endpoint.reported_load;
  if (load.attempts_of_others <= 0) {
    return 0;
  }
  return load.attempts_of_others * decay_factor(now - load.reported_at, kLoadReportTimeConstant);
}

}  // namespace

LoadBalancer::LoadBalancer(const Settings& settings, std::uint64_t seed)
    : settings_(settings),
      random_state_(seed),
      slow_start_(settings),
      subset_(settings, registry_, slow_start_),
      concurrency_limit_(settings),
      retention_(kMinRetention) {
  on_settings_changed();
}

void LoadBalancer::on_settings_changed() {
  for (const ClassSettings& request_class : settings_.classes) {
    retention_ = std::max(retention_, 2 * request_class.deadline);
  }
  subset_.on_settings_changed();
}

void LoadBalancer::update_endpoints(Micros now, const EndpointListUpdate& update) {
  registry_.update(update, [&](const EndpointRegistry::Change& change) {
    subset_.on_endpoint_changed(change);
    Endpoint* endpoint = change.endpoint;
    if (endpoint == nullptr) {
      return;
    }
    endpoint->last_used_at = now;
    if (change.restarted) {
      outlier_detector_.on_restart(*endpoint);
      endpoint->relative_duration = {};
    }
    outlier_detector_.update_counts(*endpoint);
    subset_.invalidate();
  });
  subset_.on_list_updated();
  concurrency_limit_.set_healthy_endpoints(healthy_endpoints());
}

void LoadBalancer::on_period(Micros now) {
  double work = 0;
  double total_weight = 0;
  for (Endpoint* endpoint : subset(now)) {
    endpoint->last_used_at = now;
    if (slow_start_.warmup_fraction(now, *endpoint) < 1 || endpoint->outlier.ejected) {
      continue;
    }
    work += endpoint->slow_start.work_this_period;
    total_weight += effective_weight(*endpoint);
  }
  slow_start_.update_peer_rate(work, total_weight);
  registry_.forget_if([&](Endpoint& endpoint) {
    endpoint.slow_start.work_this_period = 0;
    return endpoint.open_references == 0 && now - endpoint.last_used_at > retention_ &&
           !slow_start_.has_relevant_state(now, endpoint);
  });
}

void LoadBalancer::on_attempt_sent(Micros now, Endpoint& endpoint, double work) {
  endpoint.last_used_at = now;
  ++endpoint.open_references;
  slow_start_.on_attempt_sent(now, endpoint, work);
}

void LoadBalancer::add_in_flight(Micros now, Endpoint& endpoint, int attempts) {
  concurrency_limit_.add_in_flight(now, attempts);
  endpoint.attempts_in_flight += attempts;
  const bool had_none = endpoint.attempts_in_flight == attempts;
  if (had_none) {
    endpoint.last_progress_at = now;
  }
}

bool LoadBalancer::on_attempt_complete(Micros now, Endpoint& endpoint, const AttemptResult& result,
                                       const LoadReport& load) {
  const bool failed = is_failure(result);
  const bool duration_is_valid = has_valid_duration(result);
  if (failed) {
    add_relative_duration(now, endpoint,
                          std::max(result.relative_duration, kMinFailedRelativeDuration));
  } else if (duration_is_valid) {
    add_relative_duration(now, endpoint, result.relative_duration);
  }
  apply_load_report(now, endpoint, load);
  if (result.outcome == Outcome::kOk || result.outcome == Outcome::kError) {
    endpoint.last_progress_at = now;
  }
  if (result.outcome == Outcome::kOk && outlier_detector_.on_success(endpoint)) {
    on_health_changed();
  }
  concurrency_limit_.on_attempt_complete(now, {.objective_fraction = result.objective_fraction,
                                               .has_valid_duration = duration_is_valid,
                                               .overloaded = result.outcome == Outcome::kOverloaded,
                                               .mean_response_time = result.mean_response_time});
  if (result.cancelled_as_stalled) {
    outcome_counts_.add_stalled();
  } else {
    outcome_counts_.add(result.outcome);
  }
  return failed && on_failure(now, endpoint);
}

bool LoadBalancer::on_response_aborted(Micros now, const std::string& server) {
  Endpoint* endpoint = registry_.find(server);
  return endpoint != nullptr && on_failure(now, *endpoint);
}

const std::vector<Endpoint*>& LoadBalancer::subset(Micros now) {
  if (outlier_detector_.end_expired_ejections(now)) {
    on_health_changed();
  }
  return subset_.endpoints(now);
}

bool LoadBalancer::slow_start_admits(Micros now, Endpoint& endpoint, double work) const {
  const SubsetShare share{.subset_size = subset_.size(), .endpoints_up = registry_.up_count()};
  return slow_start_.admits(now, endpoint, work, share);
}

int LoadBalancer::unavailable_endpoints() const {
  return registry_.draining_count() + outlier_detector_.on_trial_count();
}

std::string LoadBalancer::describe_state(Micros now) {
  subset(now);  // ends expired ejections
  const OutcomeCounts counts = std::exchange(outcome_counts_, {});
  return concat("attempts in flight ", concurrency_limit_.in_flight(), " of ",
                concurrency_limit_.limit(), ", response time ", concurrency_limit_.response_time(),
                " (idle ", concurrency_limit_.idle_response_time(),
                ") times the latency objective, ejected ", outlier_detector_.ejected_count(),
                " of ", registry_.size(), " endpoints, ", counts.text());
}

int LoadBalancer::healthy_endpoints() const {
  return static_cast<int>(registry_.up_count()) - outlier_detector_.ejected_count();
}

void LoadBalancer::on_health_changed() {
  subset_.invalidate();
  concurrency_limit_.set_healthy_endpoints(healthy_endpoints());
}

// A pick considers a window of a large subset, at a random index, so that the time for a pick does
// not grow with the subset. Returns the index.
std::size_t LoadBalancer::first_considered(std::size_t subset_size) {
  if (subset_size <= kConsideredPerPick) {
    return 0;
  }
  return static_cast<std::size_t>(uniform(random_state_) * static_cast<double>(subset_size));
}

// A gateway that sends only a small part of the endpoints' load knows little about the rest. If all
// such gateways picked the endpoint that appears best, that one would be overloaded and the slower
// ones would be idle. Each gateway therefore draws a few endpoints, with probabilities proportional
// to their speed, and picks the best of these. The smaller the gateway's part of the load, the
// fewer endpoints it draws.
std::size_t LoadBalancer::sample_size() const {
  const int size = kMinSampleSize + healthy_endpoints() / settings_.gateway_count;
  return static_cast<std::size_t>(size);
}

double LoadBalancer::max_attempts_per_speed() const {
  return kMaxShareFactor * concurrency_limit_.limit() / subset_.total_weight();
}

void LoadBalancer::consider(Micros now, Endpoint& endpoint, const AttemptEstimate& attempt,
                            double attempts_per_speed) {
  if (!is_selectable(endpoint)) {
    return;
  }
  const double warmup_root = std::sqrt(slow_start_.warmup_fraction(now, endpoint));
  const double slowness = relative_slowness(now, endpoint, attempt.mean_response_time);
  const double speed = effective_weight(endpoint) * warmup_root / slowness;
  const int in_flight = endpoint.attempts_in_flight;
  if (in_flight > 0 && in_flight >= std::round(attempts_per_speed * speed)) {
    return;
  }
  if (!slow_start_admits(now, endpoint, attempt.work)) {
    return;
  }
  // The cost excludes the warm-up fraction, which already makes it less likely that a warming
  // endpoint is drawn. If its cost were higher too, a warming endpoint would be idle next to warm
  // ones.
  const double load = in_flight + attempts_of_others(now, endpoint) + 1;
  double cost = load / speed * warmup_root;
  if (endpoint.is_in_other_zone) {
    cost *= kOtherZoneCostFactor;
  }
  const double last_resort = endpoint.outlier.ejected ? kLastResortFactor : 1;
  const double key = -std::log(1 - uniform(random_state_)) / speed * last_resort;
  candidates_.add(key, cost * last_resort, &endpoint);
}

// If a complete zone fails, more endpoints may be ejected than is useful. Ejected endpoints are
// then selectable as a last resort.
bool LoadBalancer::is_selectable(const Endpoint& endpoint) const {
  if (endpoint.outlier.ejected && !outlier_detector_.too_many_ejected(registry_.up_count())) {
    return false;
  }
  return !endpoint.outlier.on_trial || endpoint.attempts_in_flight <= 0;
}

bool LoadBalancer::on_failure(Micros now, Endpoint& endpoint) {
  if (!outlier_detector_.on_failure(now, endpoint)) {
    return false;
  }
  outcome_counts_.add_ejection();
  endpoint.last_used_at = now;  // keeps the endpoint in memory until the ejection ends
  on_health_changed();
  return true;
}

}  // namespace quota_gateway::policy
