// Why a response from a server cannot be used, for the log and the metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace quota_gateway::net {

enum class ResponseFault : std::uint8_t {
  kNone,
  kReset,           // the connection was reset or lost before the end of the response
  kEndedEarly,      // the server ended the connection in order, before the end of the response
  kInvalid,         // not HTTP, or above a limit
  kStalled,         // no byte arrived for too long
  kEarly,           // a long response began before its request was complete
  kFollowedByData,  // the response is complete, and bytes that do not belong to it follow
  kRepeated,        // most likely a second copy of an earlier response on the connection
  kInterrupted,     // an exception has interrupted the reading, see the log line before
};

inline constexpr std::size_t kResponseFaultCount = std::size_t(ResponseFault::kInterrupted) + 1;

// Returns a description for the log.
std::string_view describe(ResponseFault fault);
// Returns the name of the fault in the metrics.
std::string_view metric_name(ResponseFault fault);

// The number of responses by fault.
class ResponseFaultCounts {
 public:
  void add(ResponseFault fault) { ++counts_.at(std::size_t(fault)); }
  std::uint64_t count(ResponseFault fault) const { return counts_.at(std::size_t(fault)); }

 private:
  std::array<std::uint64_t, kResponseFaultCount> counts_{};
};

}  // namespace quota_gateway::net
