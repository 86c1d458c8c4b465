#include "net/event_loop/clock.hpp"

namespace quota_gateway::net {
namespace {

template <typename Duration>
Micros to_micros(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

}  // namespace

Clock::Clock()
    : system_time_at_start_(to_micros(std::chrono::system_clock::now().time_since_epoch())),
      started_at_(std::chrono::steady_clock::now()) {}

Micros Clock::now() const {
  return system_time_at_start_ + to_micros(std::chrono::steady_clock::now() - started_at_);
}

}  // namespace quota_gateway::net
