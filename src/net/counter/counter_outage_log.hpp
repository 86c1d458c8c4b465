// Why the connection to the quota counter ended, and the log lines about it. Used by CounterClient.
#pragma once

#include <boost/system/error_code.hpp>
#include <optional>
#include <string>

#include "net/event_loop/log_rate_limit.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

enum class CounterDisconnectReason {
  kClosedByOwner,
  kConnectTimeout,
  kSocketError,
  kReplyParserFailed,
  kMalformedReply,
  kReplyWithoutCall,
  kReplyWithoutTotal,
  kOversizedReply,
  kNoResponse,
};

struct CounterDisconnect {
  CounterDisconnectReason reason = CounterDisconnectReason::kClosedByOwner;
  // Only of kSocketError.
  boost::system::error_code error = {};
};

// For the log.
std::string describe(const CounterDisconnect& cause);

// Writes the begin and the end of each time without the counter to the log, so that an incident can
// be dated.
class CounterOutageLog {
 public:
  // An attempt to connect has failed, or the connection has ended. A line is written at most every
  // 10 s.
  void on_disconnected(const CounterDisconnect& cause, Micros now);
  void on_connected(Micros now);

 private:
  LogRateLimit log_limit_;
  // None: it is connected, or has not failed to yet.
  std::optional<Micros> disconnected_since_;
};

}  // namespace quota_gateway::net
