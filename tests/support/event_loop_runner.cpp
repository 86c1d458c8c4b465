#include "support/event_loop_runner.hpp"

#include <chrono>

namespace quota_gateway::net::testing {
namespace {

constexpr std::chrono::seconds kTimeout(20);
// Longest time between two checks of the condition while no handler runs.
constexpr std::chrono::milliseconds kCheckInterval(50);

}  // namespace

bool run_until(boost::asio::io_context& io, const std::function<bool()>& done) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    io.restart();
    io.run_one_for(kCheckInterval);
  }
  return true;
}

}  // namespace quota_gateway::net::testing
