// Parses one entry of an endpoint list, a JSON object. Called by EndpointListParser.
#pragma once

#include <cstdint>
#include <string_view>

#include "net/discovery/endpoint_list.hpp"

namespace quota_gateway::net {

struct ParsedEndpointEntry {
  // Valid until the next call on the same thread.
  const ListedEndpoint& endpoint;
  // Hash of all keys and value types in their order, including nested ones.
  std::uint64_t shape = 0;
};

// `text`: one JSON object. If a key occurs twice, the last occurrence applies; unknown keys are
// ignored. Throws EndpointListError or InvalidSocketAddress.
ParsedEndpointEntry parse_endpoint_entry(std::string_view text);

}  // namespace quota_gateway::net
