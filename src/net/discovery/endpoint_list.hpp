// The endpoint list that discovery sends: its endpoints in little memory, and its errors.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <stdexcept>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// The decision module's EndpointEntry without the hardware generation, which nothing reads;
// converts to one where it is needed. A list may name 170,000 endpoints: each byte here is 170 KB.
struct CompactEndpointEntry {
  std::string server;
  std::string zone;
  std::int64_t cell = 0;
  double weight = 1;
  // Of the server's process, us; 0: long ago.
  Micros started_at = 0;
  EndpointState state = EndpointState::kUp;

  operator EndpointEntry() const { return {server, zone, "", cell, state, weight, started_at}; }
};

struct ListedEndpoint {
  CompactEndpointEntry entry;
  // Port 0: the list names no address, which only a removed endpoint may lack.
  boost::asio::ip::tcp::endpoint address;
};

// A vector of so many would take twice their memory or more while it grows.
using ListedEndpoints = std::deque<ListedEndpoint>;

// Memory that the endpoint takes in ListedEndpoints, bytes, estimated.
std::size_t memory_bytes(const ListedEndpoint& endpoint);

struct EndpointList {
  std::int64_t revision = 0;
  // Whether the list names all endpoints; else only those that changed.
  bool complete = false;
  ListedEndpoints endpoints;
};

// The list is not of the form that discovery documents.
class EndpointListError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The list exceeds what may be kept or waited for, whatever else would follow.
class EndpointListTooLarge : public EndpointListError {
 public:
  using EndpointListError::EndpointListError;
};

}  // namespace quota_gateway::net
