#include "process/polling.hpp"

#include <chrono>
#include <thread>

#include "clocks.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kPollIntervalMs = 2;

}  // namespace

void sleep_ms(double duration_ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration_ms));
}

double steady_ms() {
  return double(steady_now()) / 1e3;
}

bool poll_until(double timeout_s, const std::function<bool()>& condition) {
  const double end_ms = steady_ms() + 1e3 * timeout_s;
  while (!condition()) {
    if (steady_ms() > end_ms) {
      return false;
    }
    sleep_ms(kPollIntervalMs);
  }
  return true;
}

}  // namespace quota_gateway::scale
