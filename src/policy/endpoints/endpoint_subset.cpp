#include "policy/endpoints/endpoint_subset.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>

namespace quota_gateway::policy {
namespace {

// Multiples of the golden ratio, modulo 1, are evenly spread, and consecutive ones are far apart.
constexpr double kGoldenRatioConjugate = 0.6180339887498949;

constexpr double kGatewaysPerEndpoint = 10;  // approximately, if there are more gateways than that
constexpr double kMinSubsetSize = 6;

// Maximum distance of a subset's start from its even position, as a fraction of the subset's size.
constexpr double kMaxStartOffset = 0.125;

// us per endpoint of the subset, between checks for endpoints that have warmed up.
constexpr Micros kWarmupCheckInterval = 300;

}  // namespace

double subset_size(const EndpointRegistry& registry, const Settings& settings) {
  const auto endpoints_up = static_cast<double>(registry.up_count());
  return std::max(kMinSubsetSize,
                  std::ceil(endpoints_up * kGatewaysPerEndpoint / settings.gateway_count));
}

// The start keeps its ring position while its rank is near the even one. If its rank were always
// exactly even, adding or removing one endpoint would shift the subsets of half of all gateways. If
// its position never changed, the subsets would be distributed unevenly, as random positions are.
// The allowed distance is rounded down, to 0 for small subsets.
bool place_subset_start(RankCursor& start, const EndpointRegistry& registry,
                        const Settings& settings) {
  const auto endpoints_up = static_cast<double>(registry.up_count());
  const double turns = settings.gateway_index * kGoldenRatioConjugate;
  const double even_rank = std::floor(endpoints_up * (turns - std::floor(turns)));
  const double distance = std::abs(start.rank() - even_rank);
  const double distance_on_ring = std::min(distance, endpoints_up - distance);
  if (endpoints_up <= 0 ||
      distance_on_ring <= std::floor(kMaxStartOffset * subset_size(registry, settings))) {
    return false;
  }
  start.move_to_rank(registry, static_cast<std::size_t>(even_rank));
  return true;
}

EndpointSubset::EndpointSubset(const Settings& settings, EndpointRegistry& registry,
                               const SlowStart& slow_start)
    : settings_(settings), registry_(registry), slow_start_(slow_start) {}

void EndpointSubset::on_endpoint_changed(const EndpointRegistry::Change& change) {
  start_.on_change(change.ring_position, change.up_change);
  // Unsigned distances, because the segment may wrap around the end of the ring.
  const std::uint64_t distance_from_start = change.ring_position - start_.ring_position();
  if (distance_from_start <= last_position_ - start_.ring_position()) {
    is_stale_ = true;
  }
}

void EndpointSubset::on_list_updated() {
  const bool start_moved = place_subset_start(start_, registry_, settings_);
  if (start_moved || subset_size(registry_, settings_) != desired_size_) {
    is_stale_ = true;
  }
}

void EndpointSubset::on_settings_changed() {
  place_subset_start(start_, registry_, settings_);
  is_stale_ = true;
}

const std::vector<Endpoint*>& EndpointSubset::endpoints(Micros now) {
  if (is_stale_ || now >= next_warmup_check_at_) {
    recompute(now);
  }
  return endpoints_;
}

void EndpointSubset::recompute(Micros now) {
  is_stale_ = false;
  desired_size_ = subset_size(registry_, settings_);
  endpoints_.clear();
  total_weight_ = 0;
  double healthy = 0;  // a warming endpoint counts as its warm-up fraction
  bool any_warming = false;
  registry_.use_from(start_.ring_position(), [&](Endpoint& endpoint) {
    endpoints_.push_back(&endpoint);
    endpoint.last_used_at = now;
    endpoint.is_in_other_zone = endpoint.entry.zone != settings_.zone;
    const double warmup = slow_start_.warmup_fraction(now, endpoint);
    any_warming = any_warming || warmup < 1;
    if (!endpoint.outlier.ejected) {
      total_weight_ += effective_weight(endpoint) * warmup;
    }
    if (!endpoint.outlier.ejected && !endpoint.outlier.on_trial) {
      healthy += warmup;
    }
    return healthy < desired_size_;
  });
  const bool holds_all = endpoints_.size() >= registry_.up_count();
  last_position_ = holds_all ? start_.ring_position() - 1 : endpoints_.back()->ring_position;
  next_warmup_check_at_ = any_warming
                              ? now + kWarmupCheckInterval * static_cast<Micros>(endpoints_.size())
                              : std::numeric_limits<Micros>::max();
}

}  // namespace quota_gateway::policy
