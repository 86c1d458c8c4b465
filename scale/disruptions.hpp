// What changes in a day at the operators' target, or in a part of it, drawn from a seed. Pure: the
// same options give the same day. Scenarios draw a day and TestFleet::replay() publishes it.
#pragma once

#include <cstdint>
#include <vector>

#include "layout.hpp"
#include "quota_gateway/gateway.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {

// How long a region is cut off from discovery, in seconds: "for an hour".
constexpr double kRegionCutS = 3600;

enum class Cause : std::uint8_t { kRestart, kMachine, kRack, kZone, kRegion, kConfiguration };
enum class Change : std::uint8_t {
  kDraining,
  kDown,
  kUp,
  kRegionCut,
  kRegionRejoined,
  kSettingsChanged
};

struct Disruption {
  // Microseconds of the run's clock since the day's beginning.
  Micros at = 0;
  Cause cause = Cause::kRestart;
  Change change = Change::kUp;
  // The server; of a region's change the region, of changed settings their number.
  std::uint32_t subject = 0;

  bool operator==(const Disruption&) const = default;
};

struct DisruptionOptions {
  std::uint64_t seed = 1;
  // That are drawn.
  double hours = 24;
  // How many times faster the run's clock goes.
  double compression = 1;
  // Of the target's rates; 0: as much as the layout has of the target's servers.
  double target_rate_fraction = 0;
  Target target = {};
};

// Sorted by time; disturbances of one moment belong to one change of the list. A server's own
// changes fit together: one that is away or draining is taken by no other cause. All that begins
// also ends, if need be after the last of the hours. Throws std::invalid_argument if the layout has
// no servers, zones or regions, or the options no hours or no compression.
std::vector<Disruption> draw_disruptions(const Layout& layout, const DisruptionOptions& options);

}  // namespace quota_gateway::scale
