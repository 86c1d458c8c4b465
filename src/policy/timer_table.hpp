// Timers of requests: which request a timer belongs to, and what to do when it fires. Owned by the
// gateway; modules arm timers, and the gateway extracts each timer that fires.
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
// The counter has not replied in time: decide the request without the reply.
struct CounterWaitTimeout {};
// The request has reached its maximum hold time. The timer only makes the gateway process a batch,
// after which it dispatches the hold queue.
struct HoldTimeout {};

using TimerPurpose = std::variant<StalledAttemptCheck, CounterWaitTimeout, HoldTimeout>;

class TimerTable {
 public:
  // Token of the periodic timer of the gateway, which belongs to no request.
  static constexpr std::int64_t kPeriodicToken = 0;

  struct Timer {
    std::string request_id;
    TimerPurpose purpose;
  };

  // Registers a timer and emits the action that sets it to fire at the time `fire_at`.
  void arm(EventContext& context, const Request& request, TimerPurpose purpose, Micros fire_at);

  // Removes and returns the timer with this token; returns nothing if there is none.
  std::optional<Timer> extract(std::int64_t token);

 private:
  std::unordered_map<std::int64_t, Timer> timers_;
  std::int64_t last_token_ = 1;
};

}  // namespace quota_gateway::policy
