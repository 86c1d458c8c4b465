// Makes endpoints of an endpoint list, both parsed and in the JSON format of discovery.
#pragma once

#include <cstdint>
#include <string>

#include "net/discovery/endpoint_list.hpp"
#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// Returns `prefix` followed by `number`, for example as the name of a request or server.
std::string prefixed_number(std::string prefix, int number);

// Returns an endpoint in zone "a" that is up and has the address of `server`.
ListedEndpoint listed_endpoint(const std::string& id, const Listener& server,
                               std::int64_t cell = 0);

// Returns one entry of an endpoint list as JSON. `up_since`: milliseconds, the value of
// up_since_ms.
std::string entry_json(const std::string& id, const std::string& host_port,
                       const std::string& phase = "up", std::int64_t up_since = 0);

// Returns an endpoint list as one line of JSON. `entries`: results of entry_json(), separated by
// commas.
std::string list_json(std::int64_t revision, bool complete, const std::string& entries);

}  // namespace quota_gateway::net::testing
