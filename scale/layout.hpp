// Where servers and gateways are in a run: servers evenly over zones, those of a zone over its
// racks and machines, zones and gateways over regions. Pure; used by the drawn day, the test fleet
// and the scenarios.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "listed_server.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {

// Assumed, for no page of the operators says; docs/CAPACITY.md names them so.
constexpr std::size_t kServersPerMachine = 4;
// Behind one switch. Assumed.
constexpr std::size_t kMachinesPerRack = 20;
constexpr std::size_t kServersPerRack = kServersPerMachine * kMachinesPerRack;

// Machines and racks are numbered through all zones.
struct Layout {
  std::size_t servers = 0;
  std::size_t gateways = 0;
  std::size_t zones = 1;
  std::size_t regions = 1;

  // With as many zones and regions as the target has.
  static Layout with_zones_of(const Target& target, std::size_t servers, std::size_t gateways) {
    return {servers, gateways, target.zones, target.regions};
  }

  std::size_t zone(std::size_t server) const { return server % zones; }
  std::size_t rack(std::size_t server) const { return unit(server, kServersPerRack); }
  std::size_t machine(std::size_t server) const { return unit(server, kServersPerMachine); }
  std::size_t racks() const { return units(kServersPerRack); }
  std::size_t machines() const { return units(kServersPerMachine); }

 private:
  // The number of the unit of so many servers of one zone to which the server belongs.
  std::size_t unit(std::size_t server, std::size_t servers_per_unit) const {
    return server / zones / servers_per_unit * zones + zone(server);
  }
  std::size_t units(std::size_t servers_per_unit) const {
    return servers == 0 ? 0 : (servers - 1) / (zones * servers_per_unit) * zones + zones;
  }
};

std::string server_id(std::size_t server);
// The server whose id server_id() made.
std::size_t server_number(const std::string& id);
std::string zone_name(std::size_t zone);

// All servers, up since long ago; server i is at address(i), as "ADDRESS:PORT".
template <typename Address>
std::vector<ListedServer> list_servers(const Layout& layout, Address address) {
  std::vector<ListedServer> servers(layout.servers);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].id = server_id(i);
    servers[i].host_port = address(i);
    servers[i].locality = zone_name(layout.zone(i));
    servers[i].cell = std::int64_t(layout.rack(i));
  }
  return servers;
}

}  // namespace quota_gateway::scale
