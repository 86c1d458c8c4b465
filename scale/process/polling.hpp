// Waiting and the wall clock, for slopes of processes that are watched from outside. Keeps no
// state. Blocks the calling thread, so it must not be called from an event loop.
#pragma once

#include <functional>

namespace quota_gateway::scale {

void sleep_ms(double duration_ms);

// A clock that only goes forward, in ms; its zero means nothing.
double wall_ms();

// Asks `condition` every 2 ms until it holds, for `timeout_s` seconds at most. Whether it held.
bool poll_until(double timeout_s, const std::function<bool()>& condition);

}  // namespace quota_gateway::scale
