// What the decision module asks its caller to do, at once and in order. Plain values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

// Forward the request. Attempts of a request are numbered from 0 in the order of these actions;
// each ends in one AttemptCompleted.
struct SendAttempt {
  std::string id;
  std::string server;
  // How long to wait for the response; 0: until the client's deadline.
  Micros timeout = 0;
};

// Cancel an attempt in flight; its AttemptCompleted follows.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Answer the client that its request was rejected and had no effect.
struct Reject {
  std::string id;
  // When the client should come back, from now; empty: no advice.
  std::optional<Micros> retry_after;
};

// Answer the client that its request failed; it may have had an effect.
struct Fail {
  std::string id;
};

// Send TimerFired with this token at this instant. Timers are never cancelled.
struct SetTimer {
  Micros at = 0;
  std::int64_t token = 0;
};

struct SendHealthCheck {
  std::string server;
};

// Add to the shared counter and return its total, see CounterReply.
struct AddToCounter {
  std::int64_t key = 0;
  double amount = 0;
  // The counter may drop the name this long after the last call.
  Micros time_to_live = 0;
};

// A line for the log, without its end.
struct LogLine {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, SendHealthCheck,
                            AddToCounter, LogLine>;

}  // namespace quota_gateway
