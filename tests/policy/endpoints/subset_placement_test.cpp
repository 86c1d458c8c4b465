// Tests the positions of the gateways' subsets on the ring, for different sizes of fleet and list.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <iterator>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy/endpoints/endpoint_subset.hpp"
#include "policy/endpoints/load_balancer.hpp"
#include "quota_gateway/gateway.hpp"
#include "support/endpoint_lists.hpp"
#include "support/gateway_harness.hpp"
#include "util/hash.hpp"

namespace quota_gateway::testing {
namespace {

using policy::Endpoint;
using policy::EndpointRegistry;
using policy::LoadBalancer;

// The subsets of all gateways at one point in time. Each subset is a contiguous segment of the ring
// positions of the endpoints that are up.
struct FleetSubsets {
  std::vector<std::uint64_t> positions;  // of the endpoints, sorted
  std::vector<std::size_t> starts;       // by gateway: index into `positions`
  std::size_t subset_size = 0;

  std::uint64_t position(std::size_t gateway, std::size_t index) const {
    return positions[(starts[gateway] + index) % positions.size()];
  }
  std::vector<std::uint64_t> sorted_subset(std::size_t gateway) const {
    std::vector<std::uint64_t> subset;
    for (std::size_t i = 0; i < subset_size; ++i) {
      subset.push_back(position(gateway, i));
    }
    std::sort(subset.begin(), subset.end());
    return subset;
  }
  // Returns the number of gateways that use each endpoint, sorted.
  std::vector<int> gateways_per_endpoint() const {
    std::vector<int> counts(positions.size());
    for (const std::size_t start : starts) {
      for (std::size_t i = 0; i < subset_size; ++i) {
        ++counts[(start + i) % counts.size()];
      }
    }
    std::sort(counts.begin(), counts.end());
    return counts;
  }
};

// Returns the number of pairs of gateway and endpoint that are in `after` but not in `before`.
std::size_t new_pairs(const FleetSubsets& before, const FleetSubsets& after) {
  std::size_t count = 0;
  for (std::size_t gateway = 0; gateway < before.starts.size(); ++gateway) {
    const std::size_t last = before.subset_size - 1;
    if (before.subset_size == after.subset_size &&
        before.position(gateway, 0) == after.position(gateway, 0) &&
        before.position(gateway, last) == after.position(gateway, last)) {
      continue;
    }
    const auto old_subset = before.sorted_subset(gateway);
    const auto new_subset = after.sorted_subset(gateway);
    std::vector<std::uint64_t> added;
    std::set_difference(new_subset.begin(), new_subset.end(), old_subset.begin(), old_subset.end(),
                        std::back_inserter(added));
    count += added.size();
  }
  return count;
}

// The starts of all gateways' subsets on one list. Keeps no state of endpoints.
class Fleet {
 public:
  Fleet(int gateway_count, int endpoint_count) {
    update(complete_list(fleet_endpoints(0, endpoint_count)));
    starts_.resize(static_cast<std::size_t>(gateway_count));
    place_starts();
  }
  void update(const EndpointListUpdate& update) {
    std::vector<std::uint64_t> added;
    registry_.update(update, [&](const EndpointRegistry::Change& change) {
      for (RankCursor& start : starts_) {
        start.on_change(change.ring_position, change.up_change);
      }
      if (change.up_change == CountChange::kBecameCounted) {
        added.push_back(change.ring_position);
      }
      if (change.up_change == CountChange::kNoLongerCounted) {
        positions_.erase(
            std::lower_bound(positions_.begin(), positions_.end(), change.ring_position));
      }
    });
    std::sort(added.begin(), added.end());
    const auto old_size = static_cast<std::ptrdiff_t>(positions_.size());
    positions_.insert(positions_.end(), added.begin(), added.end());
    std::inplace_merge(positions_.begin(), positions_.begin() + old_size, positions_.end());
    place_starts();
  }
  void add_gateway() {
    starts_.emplace_back();
    place_starts();
  }
  FleetSubsets subsets() const {
    FleetSubsets subsets;
    subsets.positions = positions_;
    subsets.subset_size = std::min(
        positions_.size(), static_cast<std::size_t>(policy::subset_size(registry_, settings_)));
    for (const RankCursor& start : starts_) {
      const auto first =
          std::lower_bound(positions_.begin(), positions_.end(), start.ring_position());
      subsets.starts.push_back(static_cast<std::size_t>(first - positions_.begin()) %
                               positions_.size());
    }
    return subsets;
  }

 private:
  void place_starts() {
    settings_.gateway_count = std::max(1, static_cast<int>(starts_.size()));
    for (std::size_t i = 0; i < starts_.size(); ++i) {
      settings_.gateway_index = static_cast<int>(i);
      policy::place_subset_start(starts_[i], registry_, settings_);
    }
  }

  EndpointRegistry registry_;
  std::vector<RankCursor> starts_;
  std::vector<std::uint64_t> positions_;
  Settings settings_;
};

struct FleetShape {
  int gateways = 0;
  int endpoints = 0;
  double min_ratio = 0;              // gateways per endpoint, minimum over mean
  double max_ratio = 0;              // gateways per endpoint, maximum over mean
  double new_pairs_by_endpoint = 0;  // for one more or less, over the mean gateways per endpoint
  double new_pairs_by_gateway = 0;   // for one more, over the number of all pairs
};

// Checks that all endpoints are used by about the same number of gateways. Returns the mean of
// these numbers.
double expect_even_subsets(const Fleet& fleet, const FleetShape& shape, const char* when) {
  const auto counts = fleet.subsets().gateways_per_endpoint();
  const double pairs = std::accumulate(counts.begin(), counts.end(), 0.0);
  const double mean = pairs / static_cast<double>(counts.size());
  std::printf(
      "%d gateways, %d endpoints, %s: gateways per endpoint: minimum %d, median %d, maximum %d, "
      "mean %.2f\n",
      shape.gateways, shape.endpoints, when, counts.front(), counts[counts.size() / 2],
      counts.back(), mean);
  EXPECT_GE(counts.front(), std::floor(shape.min_ratio * mean)) << when;
  EXPECT_LE(counts.back(), std::ceil(shape.max_ratio * mean)) << when;
  return mean;
}

// Returns the mean number of new pairs over 20 changes of one endpoint each.
double mean_new_pairs_by_endpoint(Fleet& fleet, const FleetShape& shape) {
  double mean = 0;
  const auto change = [&](const EndpointEntry& entry) {
    const FleetSubsets before = fleet.subsets();
    fleet.update(partial_update({entry}));
    mean += static_cast<double>(new_pairs(before, fleet.subsets())) / 20;
  };
  for (int i = 0; i < 10; ++i) {
    change(fleet_endpoint(shape.endpoints + i));
    change(fleet_endpoint(i * (shape.endpoints / 11), EndpointState::kRemoved));
  }
  return mean;
}

TEST(SubsetPlacement, SubsetsAreEvenlySpreadAndChangeLittle) {
  for (const FleetShape& shape :
       {FleetShape{300, 200, 0.8, 1.2, 16, 0.01}, FleetShape{7'400, 20'000, 0.6, 1.4, 60, 0.01},
        FleetShape{7'400, 170'000, 0.6, 1.4, 25, 0.01}}) {
    Fleet fleet(shape.gateways, shape.endpoints);
    const double mean = expect_even_subsets(fleet, shape, "at the start");
    // Replaces a tenth of the endpoints, at most 600, one by one. The starts are then anywhere
    // within their allowed distance of the even positions.
    for (int i = 0; i < std::min(shape.endpoints / 10, 600); ++i) {
      fleet.update(partial_update(
          {fleet_endpoint(i + 1'000'000), fleet_endpoint(i * 9 + 1, EndpointState::kRemoved)}));
    }
    expect_even_subsets(fleet, shape, "after replacing a tenth, at most 600");
    const double by_endpoint = mean_new_pairs_by_endpoint(fleet, shape);
    const FleetSubsets before = fleet.subsets();
    fleet.add_gateway();
    const std::size_t by_gateway = new_pairs(before, fleet.subsets());
    expect_even_subsets(fleet, shape, "with one more gateway");
    std::printf("  new pairs: %.1f for one more or fewer endpoint, %zu for one more gateway\n",
                by_endpoint, by_gateway);
    EXPECT_LE(by_endpoint, shape.new_pairs_by_endpoint * mean);
    EXPECT_LE(static_cast<double>(by_gateway), shape.new_pairs_by_gateway * mean * shape.endpoints);
  }
}

std::vector<std::uint64_t> sorted_positions(const std::vector<Endpoint*>& subset) {
  std::vector<std::uint64_t> positions;
  positions.reserve(subset.size());
  for (const Endpoint* endpoint : subset) {
    positions.push_back(endpoint->ring_position);
  }
  std::sort(positions.begin(), positions.end());
  return positions;
}

// Guards against a subset that is not recomputed when a change of the list affects it.
TEST(SubsetPlacement, LoadBalancerUsesItsSegmentOfTheRingAfterEachChange) {
  for (const auto& [gateway_count, endpoint_count] :
       {std::pair{300, 200}, std::pair{60, 2'000}, std::pair{5, 40}}) {
    Fleet fleet(gateway_count, endpoint_count);
    std::vector<Settings> settings;
    for (int index = 0; index < gateway_count; index += 1 + gateway_count / 6) {
      settings.push_back(fleet_settings(gateway_count, index));
    }
    std::vector<std::unique_ptr<LoadBalancer>> load_balancers;
    load_balancers.reserve(settings.size());
    for (const Settings& gateway_settings : settings) {
      load_balancers.push_back(std::make_unique<LoadBalancer>(gateway_settings, 1));
    }
    const EndpointListUpdate list = complete_list(fleet_endpoints(0, endpoint_count));
    for (auto& load_balancer : load_balancers) {
      load_balancer->update_endpoints(0, list);
    }
    for (int i = 0; i < 400; ++i) {
      const auto random = mix(static_cast<std::uint64_t>(i));
      EndpointEntry entry =
          fleet_endpoint(static_cast<int>(random % static_cast<std::uint64_t>(endpoint_count)));
      if (i % 3 == 0) {
        entry.state = i % 2 == 0 ? EndpointState::kDraining : EndpointState::kRemoved;
      }
      if (i % 7 == 0) {
        entry = fleet_endpoint(endpoint_count + i);
      }
      const auto update = partial_update({entry});
      fleet.update(update);
      const FleetSubsets expected = fleet.subsets();
      for (std::size_t k = 0; k < load_balancers.size(); ++k) {
        load_balancers[k]->update_endpoints(i * kMillisecond, update);
        const auto gateway = static_cast<std::size_t>(settings[k].gateway_index);
        ASSERT_EQ(sorted_positions(load_balancers[k]->subset(i * kMillisecond)),
                  expected.sorted_subset(gateway))
            << i;
      }
    }
  }
}

TEST(SubsetPlacement, LostEndpointsAreReplacedInTheSameBatch) {
  for (const int endpoint_count : {200, 20'000}) {
    const Settings settings = fleet_settings(7'400);
    LoadBalancer load_balancer(settings, 1);
    const EndpointListUpdate list = complete_list(fleet_endpoints(0, endpoint_count));
    load_balancer.update_endpoints(0, list);
    Gateway gateway(settings, 1);
    std::vector<Action> actions;
    gateway.handle(0, {list}, actions);
    std::vector<EndpointEntry> lost;
    std::set<std::string> lost_names;
    for (const Endpoint* endpoint : load_balancer.subset(0)) {
      lost.push_back(endpoint->entry);
      lost.back().state = EndpointState::kDraining;
      lost_names.insert(endpoint->entry.server);
    }
    RequestArrived request;
    request.id = "r";
    request.plan = "plan";
    request.request_class = "read";
    request.deadline = 2 * kSecond;
    gateway.handle(kMillisecond, {partial_update(lost), request}, actions);
    const auto sent = attempts(actions);
    for (const SendAttempt& attempt : sent) {
      EXPECT_EQ(lost_names.count(attempt.server), 0U);
    }
    EXPECT_EQ(sent.size(), 1U) << endpoint_count;
  }
}

TEST(SubsetPlacement, EjectedEndpointIsReplacedImmediately) {
  for (const int endpoint_count : {200, 20'000}) {
    const Settings settings = fleet_settings(7'400);
    LoadBalancer load_balancer(settings, 1);
    load_balancer.update_endpoints(0, complete_list(fleet_endpoints(0, endpoint_count)));
    const std::size_t size = load_balancer.subset(kMillisecond).size();
    const std::string failing = load_balancer.subset(kMillisecond).front()->entry.server;
    while (!load_balancer.on_response_aborted(kMillisecond, failing)) {
    }
    EXPECT_EQ(load_balancer.subset(kMillisecond).size(), size + 1) << endpoint_count;
  }
}

}  // namespace
}  // namespace quota_gateway::testing
