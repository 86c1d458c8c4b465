#include "net/discovery/watch_timing.hpp"

namespace quota_gateway::net {
namespace {

// Discovery assumes that the gateway knows a change as soon as the agent next to it does, also when
// the agent has just restarted. 250 ms later no new request may go to a draining endpoint.
// Therefore the response timeout plus the longest backoff, and also the longest pause within a
// list, are shorter than 250 ms.
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
