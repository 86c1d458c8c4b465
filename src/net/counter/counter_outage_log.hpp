// The reasons for which a connection to the quota counter ends, and the log of outages of the
// counter. Used by CounterClient.
#pragma once

#include <boost/system/error_code.hpp>
#include <optional>
#include <string>

#include "net/event_loop/log_rate_limit.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Why a connection ended, or why an attempt to connect failed.
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

// The end of a connection or a failed attempt to connect.
struct CounterDisconnect {
  CounterDisconnectReason reason = CounterDisconnectReason::kClosedByOwner;
  // Used for kSocketError only.
  boost::system::error_code error = {};
};

// Returns a description of the cause for the log.
std::string describe(const CounterDisconnect& cause);

// Logs the beginning and the end of each outage of the counter, so that operators can determine
// when an incident took place.
class CounterOutageLog {
 public:
  // Reports a failed attempt to connect or the end of a connection. Logs at most one line in 10 s.
  void on_disconnected(const CounterDisconnect& cause, Micros now);
  // Reports an established connection. Logs the duration of the outage, if there was one.
  void on_connected(Micros now);

 private:
  LogRateLimit log_limit_;
  // Start of the current outage. Empty while connected and before the first failure.
  std::optional<Micros> disconnected_since_;
};

}  // namespace quota_gateway::net
