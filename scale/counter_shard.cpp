#include "counter_shard.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "clocks.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// The rate at which a shard without a rate limit serves the waiting calls after it was down.
constexpr double kCatchUpCallsPerSecond = 1e5;

}  // namespace

CounterShard::CounterShard(boost::asio::io_context& io, const Options& options,
                           CallHandler on_served)
    : options_(options), on_served_(std::move(on_served)), timer_(io) {}

bool CounterShard::enqueue(CounterCall call) {
  if (!options_.calls_per_second && !is_down_) {
    on_served_(call);
    return true;
  }
  const double max_calls = double(options_.max_queue_time) / service_interval();
  if (double(queue_.size()) >= std::max(1.0, max_calls)) {
    return false;
  }
  queue_.push_back(std::move(call));
  if (queue_.size() == 1 && !is_down_) {
    begin_serving();
  }
  return true;
}

void CounterShard::set_down(bool down) {
  if (is_down_ == down) {
    return;
  }
  is_down_ = down;
  timer_.cancel();
  if (!down && !queue_.empty()) {
    begin_serving();
  }
}

// Returns the microseconds that a call takes.
double CounterShard::service_interval() const {
  return kMicrosPerSecond / options_.calls_per_second.value_or(kCatchUpCallsPerSecond);
}

void CounterShard::begin_serving() {
  busy_until_ = std::max(busy_until_, double(steady_now()));
  wait_for_next();
}

void CounterShard::wait_for_next() {
  busy_until_ += service_interval();
  timer_.expires_at(
      std::chrono::steady_clock::time_point(std::chrono::microseconds(Micros(busy_until_))));
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec && !is_down_ && !queue_.empty()) {
      serve_due();
    }
  });
}

// Serves the call that the timer was set for, and the calls that became due while the event loop
// was busy.
void CounterShard::serve_due() {
  const auto now = double(steady_now());
  bool is_first = true;
  while (!queue_.empty() && (is_first || busy_until_ + service_interval() <= now)) {
    if (!is_first) {
      busy_until_ += service_interval();
    }
    is_first = false;
    const CounterCall call = std::move(queue_.front());
    queue_.pop_front();
    on_served_(call);
  }
  if (!queue_.empty()) {
    wait_for_next();
  }
}

}  // namespace quota_gateway::scale
