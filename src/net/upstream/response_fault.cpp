#include "net/upstream/response_fault.hpp"

namespace quota_gateway::net {

std::string_view describe(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNone:
      return "no fault of the response";
    case ResponseFault::kReset:
      return "the connection was reset before the end of the response";
    case ResponseFault::kEndedEarly:
      return "the server closed the connection before the end of the response";
    case ResponseFault::kInvalid:
      return "the response is not valid HTTP or exceeds a limit";
    case ResponseFault::kStalled:
      return "the response stopped arriving";
    case ResponseFault::kEarly:
      return "a long response began before its request was complete";
    case ResponseFault::kFollowedByData:
      return "the complete response is followed by other bytes";
    case ResponseFault::kRepeated:
      return "the response repeats an earlier one on its connection";
    case ResponseFault::kInterrupted:
      return "an exception has interrupted the reading";
  }
  return "unknown";
}

std::string_view metric_name(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNone:
      return "other";
    case ResponseFault::kReset:
      return "reset";
    case ResponseFault::kEndedEarly:
      return "ended_early";
    case ResponseFault::kInvalid:
      return "invalid";
    case ResponseFault::kStalled:
      return "stalled";
    case ResponseFault::kEarly:
      return "early";
    case ResponseFault::kFollowedByData:
      return "followed_by_data";
    case ResponseFault::kRepeated:
      return "repeated";
    case ResponseFault::kInterrupted:
      return "interrupted";
  }
  return "unknown";
}

}  // namespace quota_gateway::net
