// A server as discovery lists it. A plain value that the fakes, the test fleet and the scenarios
// share.
#pragma once

#include <cstdint>
#include <string>

namespace quota_gateway::scale {

// The phase of a server in its life cycle.
enum class Phase : std::uint8_t { kUp, kDraining, kRemoved };

// The fields of a server in the discovery protocol.
struct ListedServer {
  std::string id;
  // "ADDRESS:PORT".
  std::string host_port;
  std::string locality = "a";
  std::string flavor = "m";
  std::int64_t cell = 0;
  Phase phase = Phase::kUp;
  double size = 1;
  // Unix time in milliseconds; 0 means a long time ago, as in the protocol.
  std::int64_t up_since_ms = 0;
};

}  // namespace quota_gateway::scale
