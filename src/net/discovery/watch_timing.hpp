// Timeouts and backoffs of a watch on discovery, depending on how lists reach the gateway. Used by
// DiscoveryClient and its components.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

enum class WatchMode {
  kPushed,  // an agent next to this gateway, which responds immediately and can be called freely
  kPolled,  // a discovery service shared by many gateways, in which requests wait in a queue
};

// All in us.
struct WatchTiming {
  // Time from the start of connecting to the first byte of the response.
  Micros response_timeout = 0;
  // Range of the backoff between attempts to establish the watch.
  Micros initial_backoff = 0;
  Micros max_backoff = 0;
  // Longest time without further bytes of a list that has begun.
  Micros max_list_pause = 0;
};

WatchTiming watch_timing(WatchMode mode);

// If a timer fires later than this, the gateway process itself was delayed. Bytes that arrived
// during the delay are still unread, so the delay must not count as silence of the agent.
inline constexpr Micros kMaxTimerDelay = 30'000;  // us

}  // namespace quota_gateway::net
