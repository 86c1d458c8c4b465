#include "net/client/session_close.hpp"

#include <boost/asio/error.hpp>
#include <iostream>

namespace quota_gateway::net {

namespace asio = boost::asio;
using boost::system::error_code;

SessionClose close_after_error(CloseReason reason, const error_code& error) {
  const bool client_left = error == asio::error::eof || error == asio::error::connection_reset ||
                           error == asio::error::broken_pipe;
  return {client_left ? CloseReason::kClientLeft : reason, error};
}

std::string describe(const SessionClose& cause) {
  switch (cause.reason) {
    case CloseReason::kClientLeft:
      return "the client left";
    case CloseReason::kReadFailed:
      return "reading failed: " + cause.error.message();
    case CloseReason::kWriteFailed:
      return "writing failed: " + cause.error.message();
    case CloseReason::kInvalidBody:
      return "the rest of the request is not HTTP";
    case CloseReason::kTimedOut:
      return "the client sent or read nothing in time";
    case CloseReason::kResponseAborted:
      return "the server did not complete its response";
    case CloseReason::kInterrupted:
      return "an exception has interrupted the response, see the log line before";
    case CloseReason::kFinished:
      return "the last response was written";
    case CloseReason::kIdle:
      return "no request is open";
  }
  return "unknown";
}

void UnansweredRequestLog::on_closed(std::uint64_t request, const SessionClose& cause, Micros now) {
  if (cause.reason == CloseReason::kClientLeft) {
    return;
  }
  ++unlogged_;
  if (limit_.try_log(now)) {
    std::cerr << "clients: connection of request " << request
              << " closed before its response was complete: " << describe(cause) << "; "
              << unlogged_ << " such requests since the last line\n";
    unlogged_ = 0;
  }
}

void CrossedEndLog::on_crossed(Micros now) {
  ++count_;
  if (limit_.try_log(now)) {
    std::cerr << "clients: a request has crossed the end of its idle connection and was not "
                 "forwarded; "
              << count_ << " since the start\n";
  }
}

}  // namespace quota_gateway::net
