// Sleeping, polling and a clock, for scenarios that observe other processes. Stateless. Blocks the
// calling thread, so it must not be called on an event loop.
#pragma once

#include <functional>

namespace quota_gateway::scale {

void sleep_ms(double duration_ms);

// A monotonic clock in ms with an arbitrary origin.
double steady_ms();

// Checks `condition` every 2 ms until it holds, for at most `timeout_s` seconds. Returns whether it
// held.
bool poll_until(double timeout_s, const std::function<bool()>& condition);

}  // namespace quota_gateway::scale
