// How long a watch on discovery may be silent and how soon it is established again, by the way in
// which lists reach the gateway. Used by DiscoveryClient and its parts.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

enum class WatchMode {
  kPushed,  // by an agent beside this gateway, which answers at once and at no cost
  kPolled,  // by a discovery for many gateways, in which requests wait in a queue
};

// All in us.
struct WatchTiming {
  // From connecting to the first byte of a response.
  Micros response_timeout = 0;
  // Of the waits between attempts to establish the watch.
  Micros initial_backoff = 0;
  Micros max_backoff = 0;
  // The longest time without any more of a list that has begun.
  Micros max_list_pause = 0;
};

WatchTiming watch_timing(WatchMode mode);

// A timer that fires later than this shows that this process was delayed, not the agent. What came
// meanwhile is still unread, so only time in which the event loop ran may count as silence.
inline constexpr Micros kMaxTimerDelay = 30'000;  // us

}  // namespace quota_gateway::net
