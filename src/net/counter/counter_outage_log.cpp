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
      return "connecting to the counter timed out";
    case CounterDisconnectReason::kSocketError:
      return cause.error.message();
    case CounterDisconnectReason::kReplyParserFailed:
      return "the reply parser failed";
    case CounterDisconnectReason::kMalformedReply:
      return "the counter sent a malformed reply";
    case CounterDisconnectReason::kReplyWithoutCall:
      return "the counter sent a reply without a pending call";
    case CounterDisconnectReason::kReplyWithoutTotal:
      return "the counter sent a reply that does not match its call";
    case CounterDisconnectReason::kOversizedReply:
      return "the counter sent an oversized reply";
    case CounterDisconnectReason::kNoResponse:
      return "the counter did not respond to a pending call in time";
  }
  return "unknown reason";
}

void CounterOutageLog::on_disconnected(const CounterDisconnect& cause, Micros now) {
  if (!disconnected_since_) {
    disconnected_since_ = now;
  }
  if (log_limit_.try_log(now)) {
    std::cerr << "counter: no connection, retrying: " << describe(cause) << '\n';
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
