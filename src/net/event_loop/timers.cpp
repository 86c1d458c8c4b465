#include "net/event_loop/timers.hpp"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <utility>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {

Timers::Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), wakeup_(io) {}

void Timers::at(Micros when, std::function<void()> callback) {
  heap_.push_back({when, ++last_sequence_number_, std::move(callback)});
  std::push_heap(heap_.begin(), heap_.end(), is_later);
  schedule_wakeup();
}

void Timers::after(Micros delay, std::function<void()> callback) {
  at(clock_.now() + delay, std::move(callback));
}

bool Timers::is_later(const Entry& left, const Entry& right) {
  if (left.when != right.when) {
    return left.when > right.when;
  }
  return left.sequence_number > right.sequence_number;
}

void Timers::schedule_wakeup() {
  if (heap_.empty()) {
    return;
  }
  const Micros earliest = heap_.front().when;
  if (wakeup_at_ && *wakeup_at_ <= earliest) {
    return;
  }
  wakeup_at_ = earliest;
  wakeup_.expires_after(std::chrono::microseconds(std::max<Micros>(0, earliest - clock_.now())));
  wakeup_.async_wait([this](const boost::system::error_code& error) {
    // On an error, an earlier wake-up has replaced this one or the timers are being destroyed.
    if (!error) {
      run_due();
    }
  });
}

void Timers::run_due() {
  wakeup_at_.reset();
  const Micros now = clock_.now();
  std::vector<std::function<void()>> due;
  while (!heap_.empty() && heap_.front().when <= now) {
    std::pop_heap(heap_.begin(), heap_.end(), is_later);
    due.push_back(std::move(heap_.back().callback));
    heap_.pop_back();
  }
  schedule_wakeup();
  for (const auto& callback : due) {
    run_and_log_exceptions("timer", callback);
  }
}

}  // namespace quota_gateway::net
