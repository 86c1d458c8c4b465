// The steps that one request has gone through, with their times, for the log of requests that
// ended badly. Owned by Request. Does no I/O, reads no clock and allocates nothing until it is
// described.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

enum class RequestStep : std::uint8_t {
  kReceived,         // its head, and its body unless that is long
  kAttemptSent,      // passed to the connection pool; detail: number of the attempt
  kAttemptBegun,     // its first byte is written next
  kAttemptWritten,   // its last byte was written
  kAttemptEnded,     // detail: its Outcome
  kResponseFault,    // the response of the attempt could not be used; detail: its ResponseFault
  kResponseStarted,  // a long response is being streamed
  kResponseAborted,  // the rest of that response is not sent to the client
  kAnswered,         // detail: the status
  kClientLeft,       // the gateway has learnt that the client has closed its connection
};

class RequestTimeline {
 public:
  // Steps beyond this number replace the latest one, so that the end of the request is kept.
  static constexpr std::size_t kMaxSteps = 16;

  void add(RequestStep step, Micros now, int detail = 0);
  bool contains(RequestStep step) const;
  // For example `received, attempt 0 sent +0.4 ms, attempt begun +0.9 ms`. Times count from the
  // first step.
  std::string describe() const;

 private:
  struct Entry {
    Micros at = 0;
    int detail = 0;
    RequestStep step = RequestStep::kReceived;
  };

  std::array<Entry, kMaxSteps> entries_{};
  std::size_t size_ = 0;
};

}  // namespace quota_gateway::net
