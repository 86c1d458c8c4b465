// The key, the result and the progress events of one attempt to run a request on a server.
// ConnectionPool emits the events, and the request dispatcher handles them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/upstream/response_fault.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Identifies an attempt by the request's number and the attempt's number within the request.
struct AttemptKey {
  std::uint64_t request = 0;
  int attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

// Hash for unordered containers that are keyed by attempt.
struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const {
    return std::size_t(key.request * 8 + unsigned(key.attempt));
  }
};

// Limits on the time of an attempt; absolute times of the clock.
struct AttemptTimes {
  // The request tells the server how much time is left until then.
  Micros deadline = 0;
  // The request's last byte must be written before this time. Empty: no such limit.
  std::optional<Micros> write_before = std::nullopt;
  // How long the server may take none of a long body that waits for it. The client may have sent
  // its last byte when this time begins.
  Micros max_write_stall = 5'000'000;
};

// The outcome of an attempt and the values that the server sent in its response.
struct AttemptResult {
  Outcome outcome = Outcome::kReset;
  // Why the response could not be used. kNone if it could, or if there was none.
  ResponseFault fault = ResponseFault::kNone;
  LoadReport load;
  // For kOk: the complete response body, or, if the response is delivered in pieces, the received
  // part that was not delivered before.
  std::string body;
  // For kOk: the units that the server billed for the request, if the response states them.
  std::optional<double> billed_units;
  // The time at which the first byte of the response arrived. Empty if none arrived.
  std::optional<Micros> first_byte_at;
  // Percentage of its quota that the customer has used, if the response states it.
  std::optional<int> quota_usage_percent;
};

// Callbacks that report the progress of attempts. Only `may_begin` and `on_request_written` may be
// called from within a call to ConnectionPool; all others are called from the event loop.
struct AttemptEvents {
  // Whether the attempt may begin, asked right before its first byte is written. If not, it ends
  // with kNotSent.
  std::function<bool(AttemptKey)> may_begin = [](AttemptKey) { return true; };
  // The attempt has ended. No further event for it follows.
  std::function<void(AttemptKey, AttemptResult)> on_complete;
  // The last byte of the request was written to the socket.
  std::function<void(AttemptKey)> on_request_written = [](AttemptKey) {};
  // All available parts of the request's body were written, and the body is not complete yet. The
  // receiver passes the next piece to ConnectionPool::send_body_piece().
  std::function<void(AttemptKey)> on_body_piece_needed = [](AttemptKey) {};
  // The response is too long to be buffered, and its first part has arrived. The last argument is
  // the body's length in bytes, if known. The remaining pieces follow one at a time, each after a
  // call of ConnectionPool::resume(). `on_complete` ends the response, with kOk if it is complete.
  std::function<void(AttemptKey, AttemptResult, std::optional<std::uint64_t>)> on_response_started =
      [](AttemptKey, const AttemptResult&, std::optional<std::uint64_t>) {};
  // The next piece of a response that is delivered in pieces.
  std::function<void(AttemptKey, std::string)> on_response_piece = [](AttemptKey,
                                                                      const std::string&) {};
};

}  // namespace quota_gateway::net
