#include "net/log/async_log.hpp"

#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <string_view>
#include <system_error>
#include <utility>

namespace quota_gateway::net {
namespace {

// Blocks all signals of the calling thread, and so of the threads that it starts.
class SignalBlock {
 public:
  SignalBlock() {
    sigset_t all;
    sigfillset(&all);
    ::pthread_sigmask(SIG_SETMASK, &all, &previous_);
  }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;
  ~SignalBlock() { ::pthread_sigmask(SIG_SETMASK, &previous_, nullptr); }

 private:
  sigset_t previous_{};
};

// Writes all bytes, or none of the rest after an error.
void write_all(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
    if (written > 0) {
      bytes.remove_prefix(std::size_t(written));
    } else if (errno != EINTR) {
      return;
    }
  }
}

}  // namespace

struct AsyncLog::Queue {
  using Bytes = std::array<char, kMaxPendingBytes>;

  explicit Queue(int log_descriptor) : descriptor(log_descriptor) {}

  // Adds the line, or counts it if there is no room.
  void push(std::string_view line);
  // Adds the line if there is room.
  bool try_append(std::string_view line);
  // Adds a line that says how many were dropped, if there is room for it.
  void report_dropped_lines();
  // Moves all pending bytes to `batch` and returns their number. Waits for some. 0: the end.
  std::size_t take_batch();

  const int descriptor;
  std::mutex mutex;
  std::condition_variable changed;
  Bytes pending{};
  std::size_t pending_size = 0;
  std::uint64_t dropped_lines = 0;  // since the last line that says how many
  bool is_writing = false;
  bool is_ending = false;
  Bytes batch{};  // used by the thread alone
};

void AsyncLog::Queue::push(std::string_view line) {
  const std::lock_guard lock(mutex);
  if (dropped_lines > 0) {
    report_dropped_lines();
  }
  if (dropped_lines > 0 || !try_append(line)) {
    ++dropped_lines;
  }
  changed.notify_all();
}

bool AsyncLog::Queue::try_append(std::string_view line) {
  if (pending_size + line.size() > pending.size()) {
    return false;
  }
  std::copy(line.begin(), line.end(), pending.begin() + std::ptrdiff_t(pending_size));
  pending_size += line.size();
  return true;
}

void AsyncLog::Queue::report_dropped_lines() {
  std::array<char, 64> text{};
  const int size = std::snprintf(text.data(), text.size(), "log: %llu lines were dropped\n",
                                 static_cast<unsigned long long>(dropped_lines));
  if (try_append({text.data(), std::size_t(size)})) {
    dropped_lines = 0;
  }
}

std::size_t AsyncLog::Queue::take_batch() {
  std::unique_lock lock(mutex);
  is_writing = false;
  changed.notify_all();
  changed.wait(lock, [this] { return pending_size > 0 || is_ending; });
  std::copy_n(pending.begin(), pending_size, batch.begin());
  is_writing = pending_size > 0;
  return std::exchange(pending_size, 0);
}

AsyncLog::LineBuffer::int_type AsyncLog::LineBuffer::overflow(int_type character) {
  if (!traits_type::eq_int_type(character, traits_type::eof())) {
    add(traits_type::to_char_type(character));
  }
  return traits_type::not_eof(character);
}

std::streamsize AsyncLog::LineBuffer::xsputn(const char* text, std::streamsize size) {
  std::for_each_n(text, size, [this](char character) { add(character); });
  return size;
}

void AsyncLog::LineBuffer::add(char character) {
  const bool is_end = character == '\n';
  if (is_end || size_ + 1 < line_.size()) {
    line_.at(size_++) = character;
  }
  if (is_end) {
    queue_.push({line_.data(), size_});
    size_ = 0;
  }
}

AsyncLog::AsyncLog(int descriptor) : queue_(std::make_shared<Queue>(descriptor)), buffer_(*queue_) {
  const SignalBlock signals;
  try {
    thread_ = std::thread([queue = queue_] { write_lines(queue); });
  } catch (const std::system_error&) {
    return;
  }
  previous_buffer_ = std::cerr.rdbuf(&buffer_);
}

AsyncLog::~AsyncLog() {
  if (!thread_.joinable()) {
    return;
  }
  std::cerr.rdbuf(previous_buffer_);
  std::unique_lock lock(queue_->mutex);
  queue_->is_ending = true;
  queue_->changed.notify_all();
  const bool is_written = queue_->changed.wait_for(
      lock, kMaxFlushTime, [this] { return queue_->pending_size == 0 && !queue_->is_writing; });
  lock.unlock();
  if (is_written) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void AsyncLog::write_lines(const std::shared_ptr<Queue>& queue) {
  while (const std::size_t size = queue->take_batch()) {
    write_all(queue->descriptor, {queue->batch.data(), size});
  }
}

}  // namespace quota_gateway::net
