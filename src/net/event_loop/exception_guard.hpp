// Prevents an exception of one callback from skipping the callbacks that follow it.
#pragma once

#include <exception>
#include <iostream>

namespace quota_gateway::net {

// Calls `callback`. Catches a std::exception that it throws and logs it as "CONTEXT: MESSAGE". This
// is a template because a std::function would allocate memory for each action of each batch.
template <typename Callback>
void run_and_log_exceptions(const char* context, const Callback& callback) {
  try {
    callback();
  } catch (const std::exception& e) {
    std::cerr << context << ": " << e.what() << '\n';
  }
}

}  // namespace quota_gateway::net
