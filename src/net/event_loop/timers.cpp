#include "net/event_loop/timers.hpp"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <utility>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {
namespace {

// How often and how soon a callback is called again after an exception.
constexpr int kMaxRepeats = 20;
constexpr Micros kRetryDelay = 10'000;  // us

}  // namespace

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
    timers->due_.erase(key_);
  }
}

void Timers::at(Micros when, std::function<void()> callback) {
  add(when, {std::move(callback)});
}

void Timers::after(Micros delay, std::function<void()> callback) {
  add(clock_.now() + delay, {std::move(callback)});
}

void Timers::every(Micros interval, std::function<void()> callback) {
  add(clock_.now() + interval, {std::move(callback), interval});
}

Timers::Handle Timers::cancellable_at(Micros when, std::function<void()> callback) {
  return {*this, add(when, {std::move(callback)})};
}

Timers::Key Timers::add(Micros when, Timer timer) {
  const Key key{when, ++last_sequence_number_};
  pending_.emplace(key, std::move(timer));
  run_and_log_exceptions("timers", [this] { schedule_wakeup(); });  // else resume() does it
  return key;
}

void Timers::schedule_wakeup() {
  if (pending_.empty()) {
    return;
  }
  const Micros earliest = std::max(pending_.begin()->first.when, retry_at_);
  if (wakeup_at_ && *wakeup_at_ <= earliest) {
    return;
  }
  wakeup_at_.reset();
  wakeup_.expires_after(std::chrono::microseconds(std::max<Micros>(0, earliest - clock_.now())));
  wakeup_.async_wait([this](const boost::system::error_code& error) {
    // On an error, an earlier wake-up has replaced this one or the timers are being destroyed.
    if (!error) {
      run_due();
    }
  });
  wakeup_at_ = earliest;
}

void Timers::run_due() {
  wakeup_at_.reset();
  const Micros now = clock_.now();
  while (!pending_.empty() && pending_.begin()->first.when <= now) {
    due_.insert(pending_.extract(pending_.begin()));
  }
  run_and_log_exceptions("timers", [this] { schedule_wakeup(); });
  while (!due_.empty()) {
    run(due_.extract(due_.begin()));
  }
  schedule_wakeup();  // an exception leaves the event loop, whose caller then calls resume()
}

// Nodes are moved and not made anew, so that nothing here needs memory.
void Timers::run(Schedule::node_type node) {
  if (node.mapped().interval == 0) {
    return run_once(std::move(node));
  }
  Timer& timer = node.mapped();
  node.key() = {clock_.now() + timer.interval, ++last_sequence_number_};
  pending_.insert(std::move(node));  // the timer keeps its address, and nobody can cancel it
  run_and_log_exceptions("timers", [this] { schedule_wakeup(); });
  run_and_log_exceptions("timer", timer.callback);
}

// Nobody else knows what the callback was to do, so it is called again after an exception.
void Timers::run_once(Schedule::node_type node) {
  Timer& timer = node.mapped();
  if (run_and_log_exceptions("timer", timer.callback) || ++timer.failures > kMaxRepeats) {
    return;
  }
  retry_at_ = clock_.now() + kRetryDelay;
  pending_.insert(std::move(node));
  run_and_log_exceptions("timers", [this] { schedule_wakeup(); });
}

bool Timers::resume() {
  const bool is_overdue = !due_.empty() || (!pending_.empty() && !wakeup_at_);
  if (is_overdue) {
    run_due();
  }
  return is_overdue;
}

}  // namespace quota_gateway::net
