// One attempt to have a server run a request: its key, its result and the events that report its
// progress. ConnectionPool produces them, the request dispatcher consumes them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Identifies an attempt: the request's number and the attempt's number within the request.
struct AttemptKey {
  std::uint64_t request = 0;
  int attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& key) const {
    return std::size_t(key.request * 8 + unsigned(key.attempt));
  }
};

// How an attempt ended, and what the server stated in its response.
struct AttemptResult {
  Outcome outcome = Outcome::kReset;
  LoadReport load;
  // For kOk: the complete body, or what has arrived of it so far.
  std::string body;
  // For kOk: the request's true units, where the server stated them.
  std::optional<double> billed_units;
  // When the response's first byte arrived, if one did.
  std::optional<Micros> first_byte_at;
  // Percent of its quota that the customer has used, where the server stated it.
  std::optional<int> quota_usage_percent;
};

// Callbacks about attempts. All but `on_request_written` are never called from within a call to
// ConnectionPool.
struct AttemptEvents {
  // The attempt is complete; nothing more follows.
  std::function<void(AttemptKey, AttemptResult)> on_complete;
  // The request's last byte was written.
  std::function<void(AttemptKey)> on_request_written = [](AttemptKey) {};
  // What there was of the request's body was written; more of it is awaited, see
  // ConnectionPool::send_body_piece().
  std::function<void(AttemptKey)> on_body_piece_needed = [](AttemptKey) {};
  // A long response has begun; the last argument is its length in bytes, where that is known. Its
  // pieces follow one by one, each requested by resume(), and at last `on_complete`: kOk if it was
  // complete.
  std::function<void(AttemptKey, AttemptResult, std::optional<std::uint64_t>)> on_response_started =
      [](AttemptKey, const AttemptResult&, std::optional<std::uint64_t>) {};
  // The next piece of a long response.
  std::function<void(AttemptKey, std::string)> on_response_piece = [](AttemptKey,
                                                                      const std::string&) {};
};

}  // namespace quota_gateway::net
