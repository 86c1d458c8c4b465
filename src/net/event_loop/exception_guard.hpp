// Prevents an exception of one callback from skipping the callbacks that follow it.
#pragma once

#include <exception>
#include <iostream>

namespace quota_gateway::net {

// Calls `callback`. Catches a std::exception that it throws and logs it as "CONTEXT: MESSAGE".
// Returns whether none was thrown; otherwise the caller sees to what the callback was to do. This
// is a template because a std::function would allocate memory for each action of each batch.
template <typename Callback>
bool run_and_log_exceptions(const char* context, const Callback& callback) {
  try {
    callback();
    return true;
  } catch (const std::exception& e) {
    std::cerr << context << ": " << e.what() << '\n';
    return false;
  }
}

}  // namespace quota_gateway::net
