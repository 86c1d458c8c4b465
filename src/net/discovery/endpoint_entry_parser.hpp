// Parses one entry of an endpoint list, a JSON object. Called by EndpointListParser.
#pragma once

#include <cstdint>
#include <string_view>

#include "net/discovery/endpoint_list.hpp"

namespace quota_gateway::net {

struct ParsedEndpointEntry {
  // Valid until the next call on the same thread.
  const ListedEndpoint& endpoint;
  // Hash of the keys and the types of the values, nested ones too, in their order.
  std::uint64_t shape = 0;
};

// A key that appears twice counts as it appears last; unknown keys are skipped. Throws
// EndpointListError or InvalidSocketAddress.
ParsedEndpointEntry parse_endpoint_entry(std::string_view text);

}  // namespace quota_gateway::net
