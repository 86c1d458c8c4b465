// Why a watch on discovery ends, and what follows from it for the next request.
#pragma once

#include <stdexcept>
#include <string>

#include "net/discovery/list_retry_policy.hpp"

namespace quota_gateway::net {

enum class WatchDisconnectReason {
  kAgentChanged,
  kConnectionFailed,
  kSilent,
  kWatchEnded,
  kRequestRejected,
  kInvalidResponse,
  kListTooLarge,
  kListUnfinished,
};

struct WatchDisconnect {
  WatchDisconnectReason reason = WatchDisconnectReason::kConnectionFailed;
  // Of what failed, for the log.
  std::string detail;
};

// The agent's response ends the watch. what() is the detail for the log.
class WatchResponseError : public std::runtime_error {
 public:
  WatchResponseError(WatchDisconnectReason reason, const std::string& detail)
      : std::runtime_error(detail), reason_(reason) {}
  WatchDisconnectReason reason() const { return reason_; }

 private:
  WatchDisconnectReason reason_;
};

// Whether changes may have been missed, so that the next request must be for a complete list.
bool needs_complete_list(WatchDisconnectReason reason);

// What the end of the watch says of a list that was in progress.
ListFailure list_failure(WatchDisconnectReason reason);

}  // namespace quota_gateway::net
