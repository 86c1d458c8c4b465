// Draws the disruptions of a period at the operators' target from a seed: restarts, failures,
// region cuts and configuration changes. Pure: the same options give the same disruptions.
// Scenarios draw them and TestFleet::replay() publishes them.
#pragma once

#include <cstdint>
#include <vector>

#include "layout.hpp"
#include "quota_gateway/gateway.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {

// Seconds for which a region is cut off from discovery; the operators say "for an hour".
constexpr double kRegionCutS = 3600;

// What causes a disruption.
enum class Cause : std::uint8_t { kRestart, kMachine, kRack, kZone, kRegion, kConfiguration };
// What a disruption changes.
enum class Change : std::uint8_t {
  kDraining,
  kDown,
  kUp,
  kRegionCut,
  kRegionRejoined,
  kSettingsChanged
};

// A change of one server, of a region's connection to discovery or of the settings.
struct Disruption {
  // Microseconds of the run's clock since the beginning of the period.
  Micros at = 0;
  Cause cause = Cause::kRestart;
  Change change = Change::kUp;
  // The server; for a change of a region the region, for changed settings their number.
  std::uint32_t subject = 0;

  bool operator==(const Disruption&) const = default;
};

// Options of the drawn period.
struct DisruptionOptions {
  std::uint64_t seed = 1;
  // Length of the period, before compression.
  double hours = 24;
  // Factor by which the run's clock is faster than real time.
  double compression = 1;
  // Fraction of the target's rates; 0: the layout's share of the target's servers. Zones and
  // regions always have their full rate.
  double target_rate_fraction = 0;
  Target target = {};
};

// Returns the disruptions sorted by time; those with the same time belong to one change of the
// list. A server that is down or draining is not affected by another cause. Every disruption that
// begins also ends, after the last of the hours if necessary. Throws std::invalid_argument if the
// layout has no servers, zones or regions, or the options have no hours or no compression.
std::vector<Disruption> draw_disruptions(const Layout& layout, const DisruptionOptions& options);

}  // namespace quota_gateway::scale
