#include "net/counter/counter_call_queue.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::net {

std::optional<Micros> CounterCallQueue::oldest_created_at() const {
  if (calls_.empty()) {
    return std::nullopt;
  }
  return calls_.front().created_at;
}

bool CounterCallQueue::any_needs_reply() const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [](const CounterCall& call) { return call.needs_reply(); });
}

std::uint64_t CounterCallQueue::push(CounterCall call) {
  call.number = ++last_number_;
  calls_.push_back(std::move(call));
  return last_number_;
}

CounterCall CounterCallQueue::pop() {
  CounterCall call = std::move(calls_.front());
  calls_.pop_front();
  return call;
}

std::optional<UnansweredCall> CounterCallQueue::time_out(std::uint64_t number) {
  const auto it = std::lower_bound(calls_.begin(), calls_.end(), number,
                                   [](const CounterCall& call, std::uint64_t searched_number) {
                                     return call.number < searched_number;
                                   });
  if (it == calls_.end() || it->number != number || !it->needs_reply()) {
    return std::nullopt;
  }
  if (it->command.empty()) {
    UnansweredCall timed_out{*it, true};
    it->outcome_reported = true;
    return timed_out;
  }
  UnansweredCall removed{std::move(*it), false};
  calls_.erase(it);
  return removed;
}

const std::string& CounterCallQueue::begin_write() {
  for (CounterCall& call : calls_) {
    if (call.command.empty()) {
      continue;
    }
    write_buffer_ += call.command;
    call.command.clear();
    call.end_offset = bytes_written_ + write_buffer_.size();
  }
  return write_buffer_;
}

void CounterCallQueue::on_written(std::size_t size) {
  bytes_written_ += size;
  write_buffer_.clear();
}

std::vector<UnansweredCall> CounterCallQueue::end_connection() {
  // It is not known how much of a write in progress was sent, so all of it counts as possibly sent.
  const std::size_t possibly_sent_bytes = bytes_written_ + write_buffer_.size();
  write_buffer_.clear();
  bytes_written_ = 0;
  std::vector<UnansweredCall> unanswered;
  for (CounterCall& call : calls_) {
    const bool possibly_sent = call.command.empty() && call.end_offset <= possibly_sent_bytes;
    unanswered.push_back({std::move(call), possibly_sent});
  }
  calls_.clear();
  return unanswered;
}

}  // namespace quota_gateway::net
