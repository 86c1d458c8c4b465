#include "net/discovery/watch_disconnect.hpp"

namespace quota_gateway::net {

// A rejected or incomprehensible response may have held changes. Only a complete list can make up
// for them.
bool needs_complete_list(WatchDisconnectReason reason) {
  switch (reason) {
    case WatchDisconnectReason::kAgentChanged:
    case WatchDisconnectReason::kRequestRejected:
    case WatchDisconnectReason::kInvalidResponse:
    case WatchDisconnectReason::kListTooLarge:
    case WatchDisconnectReason::kListUnfinished:
      return true;
    case WatchDisconnectReason::kConnectionFailed:
    case WatchDisconnectReason::kSilent:
    case WatchDisconnectReason::kWatchEnded:
      break;
  }
  return false;
}

ListFailure list_failure(WatchDisconnectReason reason) {
  switch (reason) {
    case WatchDisconnectReason::kListTooLarge:
      return ListFailure::kTooLarge;
    case WatchDisconnectReason::kListUnfinished:
      return ListFailure::kUnfinished;
    default:
      return ListFailure::kMalformed;
  }
}

}  // namespace quota_gateway::net
