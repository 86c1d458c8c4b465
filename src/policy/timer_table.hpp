// Timers that belong to a request: which request, and what to do when they fire. Owned by the
// gateway; modules arm them, and the gateway's dispatch extracts those that fired.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "policy/event_context.hpp"
#include "policy/request.hpp"

namespace quota_gateway::policy {

// Check whether the endpoint of this attempt has stalled.
struct StalledAttemptCheck {
  int attempt;  // index in Request::attempts
};
// The counter has not answered in time: decide with what is known.
struct CounterWaitTimeout {};
// The request has been held for as long as it may be. Nothing to do but to wake the gateway, which
// serves the hold queue after every batch.
struct HoldTimeout {};

using TimerPurpose = std::variant<StalledAttemptCheck, CounterWaitTimeout, HoldTimeout>;

class TimerTable {
 public:
  // The token of the gateway's own periodic timer, which is no request's.
  static constexpr std::int64_t kPeriodicToken = 0;

  struct Timer {
    std::string request_id;
    TimerPurpose purpose;
  };

  // Emits the timer; it fires at the instant `fire_at`, us.
  void arm(EventContext& context, const Request& request, TimerPurpose purpose, Micros fire_at);

  // Takes out the timer that fired; nothing if the token belongs to none.
  std::optional<Timer> extract(std::int64_t token);

 private:
  std::unordered_map<std::int64_t, Timer> timers_;
  std::int64_t last_token_ = 1;
};

}  // namespace quota_gateway::policy
