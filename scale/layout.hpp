// The placement of servers and gateways in a run: servers are distributed evenly over zones, the
// servers of a zone over its racks and machines, and zones and gateways over regions. Pure; used by
// the drawn disruptions, the test fleet and the scenarios.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "listed_server.hpp"
#include "scenario.hpp"

namespace quota_gateway::scale {

// An assumption, as the operators' pages do not state it; docs/CAPACITY.md lists it as such.
constexpr std::size_t kServersPerMachine = 4;
// Machines behind one switch. An assumption, too.
constexpr std::size_t kMachinesPerRack = 20;
constexpr std::size_t kServersPerRack = kServersPerMachine * kMachinesPerRack;

// Numbers of servers, gateways, zones and regions. Machines and racks are numbered across all
// zones.
struct Layout {
  std::size_t servers = 0;
  std::size_t gateways = 0;
  std::size_t zones = 1;
  std::size_t regions = 1;

  // Returns a layout with as many zones and regions as the target.
  static Layout with_zones_of(const Target& target, std::size_t servers, std::size_t gateways) {
    return {servers, gateways, target.zones, target.regions};
  }

  std::size_t zone(std::size_t server) const { return server % zones; }
  std::size_t rack(std::size_t server) const { return group(server, kServersPerRack); }
  std::size_t machine(std::size_t server) const { return group(server, kServersPerMachine); }
  std::size_t racks() const { return groups(kServersPerRack); }
  std::size_t machines() const { return groups(kServersPerMachine); }

 private:
  // Returns the number of the group to which the server belongs, if each group has
  // `servers_per_group` servers of one zone.
  std::size_t group(std::size_t server, std::size_t servers_per_group) const {
    return server / zones / servers_per_group * zones + zone(server);
  }
  std::size_t groups(std::size_t servers_per_group) const {
    return servers == 0 ? 0 : (servers - 1) / (zones * servers_per_group) * zones + zones;
  }
};

// Returns the id under which the server is listed.
std::string server_id(std::size_t server);
// Returns the number of the server with this id; the inverse of server_id().
std::size_t server_number(const std::string& id);
// Returns the letter that names the zone; letters repeat after 26 zones.
std::string zone_name(std::size_t zone);

// Returns the list of all servers, in the phase kUp; server i is at address(i), as "ADDRESS:PORT".
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
