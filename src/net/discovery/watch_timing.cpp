#include "net/discovery/watch_timing.hpp"

namespace quota_gateway::net {
namespace {

// Discovery takes what an agent beside this gateway has as known at once, also when the agent comes
// back, and 250 ms later nothing new may go to a draining endpoint. So the response time and the
// backoff together stay under that, and so does a list's pause.
constexpr WatchTiming kPushedTiming = {.response_timeout = 120'000,
                                       .initial_backoff = 20'000,
                                       .max_backoff = 60'000,
                                       .max_list_pause = 150'000};
constexpr WatchTiming kPolledTiming = {.response_timeout = 5'000'000,
                                       .initial_backoff = 100'000,
                                       .max_backoff = 1'000'000,
                                       .max_list_pause = 1'000'000};

}  // namespace

WatchTiming watch_timing(WatchMode mode) {
  return mode == WatchMode::kPushed ? kPushedTiming : kPolledTiming;
}

}  // namespace quota_gateway::net
