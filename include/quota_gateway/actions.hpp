// Actions that the decision module returns. The caller performs them immediately and in order.
// Plain values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

// Forwards the request to a server. The attempts of a request are numbered from 0 in the order of
// these actions. Each attempt ends in one AttemptCompleted.
struct SendAttempt {
  std::string id;
  std::string server;
  // How long to wait for the response, us; 0: until the client's deadline.
  Micros timeout = 0;
  // The request's last byte must be written before this time of the clock; later, the attempt must
  // not be sent. Empty: no such limit. A repeat with an idempotency key runs twice if it arrives
  // after the endpoints have forgotten the key.
  std::optional<Micros> write_before = std::nullopt;
};

// Cancels an attempt in flight. Its AttemptCompleted follows.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Tells the client that its request was rejected and had no effect.
struct Reject {
  std::string id;
  // How long the client should wait before a retry, us; empty: no advice.
  std::optional<Micros> retry_after;
};

// Tells the client that its request failed. The request may have had an effect.
struct Fail {
  std::string id;
};

// Requests a TimerFired with this token at this instant. Timers are never cancelled.
struct SetTimer {
  Micros at = 0;
  std::int64_t token = 0;
};

// Probes a server. A HealthCheckCompleted follows.
struct SendHealthCheck {
  std::string server;
};

// Adds `amount` to a key of the shared counter. A CounterReply with the key's total follows.
struct AddToCounter {
  std::int64_t key = 0;
  double amount = 0;
  // The counter may delete the key this long after the last call for it, us.
  Micros time_to_live = 0;
};

// A line for the log, without a line terminator.
struct LogLine {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, SendHealthCheck,
                            AddToCounter, LogLine>;

}  // namespace quota_gateway
