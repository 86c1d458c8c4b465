// Determines the endpoints that a gateway uses: a contiguous segment of the ring, which is the same
// on all gateways.
//
// If each of a hundred gateways used all endpoints, every gateway would keep connections to all of
// them and send each too few attempts to detect a faulty one. The segments of the gateways start at
// evenly spaced positions, those of consecutive gateways far apart, and extend until they contain
// enough healthy endpoints.
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

// Returns the required size of a subset, in healthy, warm endpoints.
double subset_size(const EndpointRegistry& registry, const Settings& settings);

// Moves the start of a gateway's subset to its evenly spaced position if the start is too far from
// it. Returns whether the start moved.
bool place_subset_start(RankCursor& start, const EndpointRegistry& registry,
                        const Settings& settings);

class EndpointSubset {
 public:
  // All arguments must outlive this object.
  EndpointSubset(const Settings& settings, EndpointRegistry& registry, const SlowStart& slow_start);

  // Must be called for each change that the registry reports. After the last change of an update,
  // `on_list_updated` must be called.
  void on_endpoint_changed(const EndpointRegistry::Change& change);
  void on_list_updated();

  void on_settings_changed();

  // Must be called when the health of an endpoint in use has changed. The next call of `endpoints`
  // then computes the subset again.
  void invalidate() { is_stale_ = true; }

  // Returns the endpoints in ring order. Valid until the registry changes or the next call.
  const std::vector<Endpoint*>& endpoints(Micros now);

  // Number of endpoints when the subset was last computed.
  std::size_t size() const { return endpoints_.size(); }

  // Sum of the weights of the endpoints that are not ejected, each multiplied by its warm-up
  // fraction when the subset was last computed.
  double total_weight() const { return total_weight_; }

 private:
  void recompute(Micros now);

  const Settings& settings_;
  EndpointRegistry& registry_;
  const SlowStart& slow_start_;
  RankCursor start_;
  std::vector<Endpoint*> endpoints_;
  std::uint64_t last_position_ = 0;  // end of the segment that begins at `start_`
  bool is_stale_ = true;
  double desired_size_ = 0;  // when the subset was last computed
  double total_weight_ = 0;
  Micros next_warmup_check_at_ = 0;  // the subset shrinks as its endpoints warm up
};

}  // namespace quota_gateway::policy
