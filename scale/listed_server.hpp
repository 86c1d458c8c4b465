// A server as discovery lists it. A plain value: fakes, test fleet and scenarios pass it around.
#pragma once

#include <cstdint>
#include <string>

namespace quota_gateway::scale {

enum class Phase : std::uint8_t { kUp, kDraining, kRemoved };

struct ListedServer {
  std::string id;
  // "ADDRESS:PORT".
  std::string host_port;
  std::string locality = "a";
  std::string flavor = "m";
  std::int64_t cell = 0;
  Phase phase = Phase::kUp;
  double size = 1;
  // Unix time in milliseconds; 0: long ago, as on the wire.
  std::int64_t up_since_ms = 0;
};

}  // namespace quota_gateway::scale
