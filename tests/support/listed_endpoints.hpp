// Listed endpoints, parsed and as discovery writes them.
#pragma once

#include <cstdint>
#include <string>

#include "net/discovery/endpoint_list.hpp"
#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// `prefix` and the number: a name for one of many.
std::string prefixed_number(std::string prefix, int number);

// An endpoint in zone "a" that is up.
ListedEndpoint listed_endpoint(const std::string& id, const Listener& server,
                               std::int64_t cell = 0);

// One entry of a list. `up_since`: milliseconds.
std::string entry_json(const std::string& id, const std::string& host_port,
                       const std::string& phase = "up", std::int64_t up_since = 0);

// A line with a list. `entries`: as `entry_json` writes them, with commas between.
std::string list_json(std::int64_t revision, bool complete, const std::string& entries);

}  // namespace quota_gateway::net::testing
