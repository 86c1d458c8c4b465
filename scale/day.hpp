// What changes in a day at the operators' target, or in a part of it, drawn from a seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "listed_server.hpp"
#include "quota_gateway/gateway.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {

// Assumed, for no page tells them; CAPACITY.md names them so.
constexpr std::size_t kServersAMachine = 4;     // assumed: that go with one machine
constexpr std::size_t kMachinesARack = 20;      // assumed: behind one switch
constexpr double kRacksADay = 0.7;              // assumed: "most days", of racks or switches
constexpr double kZonesADay = 3.0 / 365;        // assumed: "a few times a year"
constexpr double kRegionCutsADay = 1.0 / 30;    // assumed: "now and then"
constexpr double kDrainS = 30, kRestartS = 20;  // assumed: s of draining, and until it is up again
constexpr double kMachineAwayS = 1200, kRackAwayS = 1800, kZoneAwayS = 3600;  // assumed
constexpr double kRegionCutS = 3600;                                          // s; "for an hour"

// Where servers and gateways are: evenly over zones, those over regions, those of a zone over its
// racks.
struct Layout {
  std::size_t servers = 0, gateways = 0, zones = 1, regions = 1;
  std::size_t zone(std::size_t server) const { return server % zones; }
  std::size_t rack(std::size_t server) const {  // counted through all zones
    return server / zones / (kServersAMachine * kMachinesARack) * zones + zone(server);
  }
  std::size_t machine(std::size_t server) const {
    return server / zones / kServersAMachine * zones + zone(server);
  }
  std::size_t region(std::size_t zone) const { return zone % regions; }
  std::size_t racks() const {
    return servers == 0 ? 0 : (servers - 1) / (zones * rack_servers()) * zones + zones;
  }
  std::size_t machines() const {
    return servers == 0 ? 0 : (servers - 1) / (zones * kServersAMachine) * zones + zones;
  }
  std::size_t gateway_region(std::size_t gateway) const { return gateway % regions; }
  static constexpr std::size_t rack_servers() { return kServersAMachine * kMachinesARack; }
  // Of a whole world, or of so many servers: zones and regions as at the target.
  static Layout at(const Target& target, std::size_t servers, std::size_t gateways) {
    return {servers, gateways, target.zones, target.regions};
  }
};
std::string server_id(std::size_t server);
std::string zone_name(std::size_t zone);
// All of them up since long ago; server i is at address(i).
template <typename Address>
std::vector<ListedServer> list_of(const Layout& layout, Address address) {
  std::vector<ListedServer> out(layout.servers);
  for (std::size_t i = 0; i < out.size(); ++i) {
    out[i].id = server_id(i);
    out[i].host_port = address(i);
    out[i].locality = zone_name(layout.zone(i));
    out[i].cell = std::int64_t(layout.rack(i));
  }
  return out;
}

enum class Cause : std::uint8_t { kRestart, kMachine, kRack, kZone, kRegion, kConfiguration };
enum class Change : std::uint8_t { kDraining, kGone, kUp, kCut, kJoined, kSettings };

struct Disturbance {
  Micros at = 0;  // us of the bench's clock since the day's beginning
  Cause cause = Cause::kRestart;
  Change change = Change::kUp;
  std::uint32_t what =
      0;  // the server; the region of kCut and kJoined; the number of the kSettings
  bool operator==(const Disturbance&) const = default;
};

struct DayOptions {
  std::uint64_t seed = 1;
  double hours = 24;       // that are drawn
  double compression = 1;  // so many times faster goes the bench's clock
  double target_rate_fraction =
      0;  // of the target's rates; 0: the layout's servers over the target's
  Target target = {};
};

// Sorted by time; those of one moment belong to one change of the list. Each server's own changes
// make sense in their order: one that is away or draining is taken by no other cause. All that
// begins also ends, if need be after the last of the hours. The same options give the same day.
std::vector<Disturbance> draw_day(const Layout& layout, const DayOptions& options);

}  // namespace quota_gateway::scale
