// The reasons for which a watch on discovery ends, and their consequences for the next request.
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
  // Description of the failure, for the log.
  std::string detail;
};

// An error in the agent's response that ends the watch. what() is the detail for the log.
class WatchResponseError : public std::runtime_error {
 public:
  WatchResponseError(WatchDisconnectReason reason, const std::string& detail)
      : std::runtime_error(detail), reason_(reason) {}
  WatchDisconnectReason reason() const { return reason_; }

 private:
  WatchDisconnectReason reason_;
};

// Whether changes may have been missed, so that the next request must ask for a complete list.
bool needs_complete_list(WatchDisconnectReason reason);

// Returns why a list in progress was rejected when the watch ended for this reason.
ListFailure list_failure(WatchDisconnectReason reason);

}  // namespace quota_gateway::net
