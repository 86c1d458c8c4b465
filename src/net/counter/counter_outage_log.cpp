#include "net/counter/counter_outage_log.hpp"

#include <iostream>

namespace quota_gateway::net {
namespace {

constexpr Micros kMicrosPerMillisecond = 1000;

}  // namespace

std::string describe(const CounterDisconnect& cause) {
  switch (cause.reason) {
    case CounterDisconnectReason::kClosedByOwner:
      return "closed";
    case CounterDisconnectReason::kConnectTimeout:
      return "connecting timed out";
    case CounterDisconnectReason::kSocketError:
      return cause.error.message();
    case CounterDisconnectReason::kReplyParserFailed:
      return "reply parser failed";
    case CounterDisconnectReason::kMalformedReply:
      return "malformed reply";
    case CounterDisconnectReason::kReplyWithoutCall:
      return "a reply without a call";
    case CounterDisconnectReason::kReplyWithoutTotal:
      return "a reply without a total";
    case CounterDisconnectReason::kOversizedReply:
      return "oversized reply";
    case CounterDisconnectReason::kNoResponse:
      return "no response";
  }
  return "unknown reason";
}

void CounterOutageLog::on_disconnected(const CounterDisconnect& cause, Micros now) {
  if (!disconnected_since_) {
    disconnected_since_ = now;
  }
  if (log_limit_.try_log(now)) {
    std::cerr << "counter: " << describe(cause) << '\n';
  }
}

void CounterOutageLog::on_connected(Micros now) {
  if (disconnected_since_) {
    const Micros outage = now - *disconnected_since_;
    std::cerr << "counter: reconnected after " << outage / kMicrosPerMillisecond << " ms\n";
  }
  disconnected_since_.reset();
}

}  // namespace quota_gateway::net
