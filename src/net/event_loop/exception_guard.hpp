// Keeps an exception of one callback from skipping those that follow it.
#pragma once

#include <exception>
#include <iostream>

namespace quota_gateway::net {

// Calls `step`. A std::exception that leaves it is logged as "CONTEXT: MESSAGE" and goes no
// further. A template, since a std::function would allocate memory for each action of each batch.
template <typename Step>
void run_and_log_exceptions(const char* context, const Step& step) {
  try {
    step();
  } catch (const std::exception& e) {
    std::cerr << context << ": " << e.what() << '\n';
  }
}

}  // namespace quota_gateway::net
