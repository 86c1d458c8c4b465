// The endpoint list that discovery sends, in a compact form, and the errors of parsing it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// The decision module's EndpointEntry without the hardware generation, which the decision module
// does not read. Converts to an EndpointEntry implicitly. A list may contain 170,000 endpoints, so
// each byte of this struct takes 170 KB per list.
struct CompactEndpointEntry {
  std::string server;
  std::string zone;
  std::int64_t cell = 0;
  double weight = 1;
  // Start time of the server's process, us. 0 counts as started in the distant past.
  Micros started_at = 0;
  EndpointState state = EndpointState::kUp;

  operator EndpointEntry() const { return {server, zone, "", cell, state, weight, started_at}; }
};

struct ListedEndpoint {
  CompactEndpointEntry entry;
  // Port 0 if the list has no address for the endpoint, which is valid only for a removed endpoint.
  boost::asio::ip::tcp::endpoint address;
};

// A deque, because a growing vector of 170,000 endpoints would temporarily take at least twice
// their memory.
using ListedEndpoints = std::deque<ListedEndpoint>;

// Estimates the memory that the endpoint takes in ListedEndpoints, in bytes.
std::size_t memory_bytes(const ListedEndpoint& endpoint);

struct EndpointList {
  std::int64_t revision = 0;
  // Whether the list contains all endpoints. Otherwise it contains only those that changed.
  bool complete = false;
  ListedEndpoints endpoints;
};

// The list does not have the format that discovery documents.
class EndpointListError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The list exceeds a size limit, so it is rejected before the rest of it arrives.
class EndpointListTooLarge : public EndpointListError {
 public:
  using EndpointListError::EndpointListError;
};

}  // namespace quota_gateway::net
