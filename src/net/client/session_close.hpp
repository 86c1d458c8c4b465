// Why the connection of a client is closed, and the log of those that are closed before a request
// on them has its response.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>

#include "net/event_loop/log_rate_limit.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

enum class CloseReason {
  kClientLeft,       // the client closed its side or reset the connection
  kReadFailed,       // another error of a read or of the wait for it
  kWriteFailed,      // another error of a write or of the wait for it
  kInvalidBody,      // the rest of a request's body is not HTTP
  kTimedOut,         // a time limit of SessionActivity has passed
  kResponseAborted,  // the server did not complete a response that has begun
  kInterrupted,      // an exception, as for lack of memory, has interrupted a response
  kFinished,         // the last response was written
  kIdle,             // no request is open; closed to shut down or for other clients
};

struct SessionClose {
  CloseReason reason;
  boost::system::error_code error = {};  // of kReadFailed and kWriteFailed
};

// Returns the cause of a failed read or write: kClientLeft if `error` says that the client has
// closed or reset the connection, otherwise `reason`.
SessionClose close_after_error(CloseReason reason, const boost::system::error_code& error);

// Returns a description of the cause for the log.
std::string describe(const SessionClose& cause);

// Logs requests whose connection the gateway closed before their response. A client that leaves is
// not logged: GatewayStats counts its requests as errors.
class UnansweredRequestLog {
 public:
  // Logs at most one line in 10 s, which states how many requests there were since the last one.
  void on_closed(std::uint64_t request, const SessionClose& cause, Micros now);

 private:
  LogRateLimit limit_;
  int unlogged_ = 0;  // requests since the last line
};

// Counts and logs requests that arrived behind the last response of an idle connection that the
// gateway has ended. Each has that response, and was not forwarded.
class CrossedEndLog {
 public:
  // Logs at most one line in 10 s.
  void on_crossed(Micros now);
  std::uint64_t count() const { return count_; }

 private:
  LogRateLimit limit_;
  std::uint64_t count_ = 0;
};

}  // namespace quota_gateway::net
