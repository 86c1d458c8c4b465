#include "net/event_loop/timers.hpp"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {

Timers::Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), wakeup_(io) {}

Timers::Handle::Handle(Handle&& other) noexcept
    : timers_(std::exchange(other.timers_, nullptr)), key_(other.key_) {}

Timers::Handle& Timers::Handle::operator=(Handle&& other) noexcept {
  if (this != &other) {
    cancel();
    timers_ = std::exchange(other.timers_, nullptr);
    key_ = other.key_;
  }
  return *this;
}

void Timers::Handle::cancel() {
  if (Timers* const timers = std::exchange(timers_, nullptr)) {
    timers->pending_.erase(key_);
  }
}

void Timers::at(Micros when, std::function<void()> callback) {
  add(when, std::move(callback));
}

void Timers::after(Micros delay, std::function<void()> callback) {
  add(clock_.now() + delay, std::move(callback));
}

Timers::Handle Timers::cancellable_at(Micros when, std::function<void()> callback) {
  return {*this, add(when, std::move(callback))};
}

Timers::Key Timers::add(Micros when, std::function<void()> callback) {
  const Key key{when, ++last_sequence_number_};
  pending_.emplace(key, std::move(callback));
  schedule_wakeup();
  return key;
}

void Timers::schedule_wakeup() {
  if (pending_.empty()) {
    return;
  }
  const Micros earliest = pending_.begin()->first.when;
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
  while (!pending_.empty() && pending_.begin()->first.when <= now) {
    due.push_back(std::move(pending_.extract(pending_.begin()).mapped()));
  }
  schedule_wakeup();
  for (const auto& callback : due) {
    run_and_log_exceptions("timer", callback);
  }
}

}  // namespace quota_gateway::net
