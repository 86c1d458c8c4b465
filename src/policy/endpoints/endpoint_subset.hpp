// Which endpoints a gateway uses: a stretch of the ring that all gateways agree on.
//
// If each of a hundred gateways used all endpoints, it would keep connections to all of them and
// meet each too seldom to learn that it is faulty. The stretches of the gateways begin at even
// distances, those of neighbours far apart, and go on until enough of their endpoints are healthy.
//
// Owned by LoadBalancer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "policy/endpoints/endpoint.hpp"
#include "policy/endpoints/endpoint_registry.hpp"
#include "policy/endpoints/slow_start.hpp"
#include "quota_gateway/gateway.hpp"
#include "util/rank_cursor.hpp"

namespace quota_gateway::policy {

// How many healthy, warm endpoints a subset has to have.
double subset_size(const EndpointRegistry& registry, const Settings& settings);

// Moves the start of a gateway's subset to its even distance from the others if it is too far from
// there. Returns whether it moved.
bool place_subset_start(RankCursor& start, const EndpointRegistry& registry,
                        const Settings& settings);

class EndpointSubset {
 public:
  // All must outlive this object.
  EndpointSubset(const Settings& settings, EndpointRegistry& registry, const SlowStart& slow_start);

  // Must be called for each change that the registry reports, and `on_list_updated` after the last
  // of an update.
  void on_endpoint_changed(const EndpointRegistry::Change& change);
  void on_list_updated();

  void on_settings_changed();

  // The health of an endpoint in use has changed: the subset is determined anew when it is next
  // asked for.
  void invalidate() { is_stale_ = true; }

  // In ring order. Valid until the registry changes; the next call may change it.
  const std::vector<Endpoint*>& endpoints(Micros now);

  // How many there were when the subset was last determined.
  std::size_t size() const { return endpoints_.size(); }

  // Of the endpoints that are not ejected, by how warm they were when the subset was last
  // determined.
  double total_weight() const { return total_weight_; }

 private:
  void determine(Micros now);

  const Settings& settings_;
  EndpointRegistry& registry_;
  const SlowStart& slow_start_;
  RankCursor start_;
  std::vector<Endpoint*> endpoints_;
  std::uint64_t last_position_ = 0;  // the stretch from `start_` to here holds the subset
  bool is_stale_ = true;
  double desired_size_ = 0;  // when the subset was last determined
  double total_weight_ = 0;
  Micros next_warmup_check_at_ = 0;  // the subset shrinks as its endpoints warm up
};

}  // namespace quota_gateway::policy
