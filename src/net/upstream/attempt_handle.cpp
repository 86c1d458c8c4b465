#include "net/upstream/attempt_handle.hpp"

#include <utility>

#include "net/upstream/attempt_runner.hpp"

namespace quota_gateway::net {

AttemptHandle::AttemptHandle(AttemptRunner& runner, AttemptKey key) : runner_(&runner), key_(key) {}

AttemptHandle::AttemptHandle(AttemptHandle&& other) noexcept
    : runner_(std::exchange(other.runner_, nullptr)), key_(other.key_) {}

AttemptHandle& AttemptHandle::operator=(AttemptHandle&& other) noexcept {
  if (this != &other) {
    abandon();
    runner_ = std::exchange(other.runner_, nullptr);
    key_ = other.key_;
  }
  return *this;
}

AttemptHandle::~AttemptHandle() {
  abandon();
}

bool AttemptHandle::abandon() {
  AttemptRunner* const runner = std::exchange(runner_, nullptr);
  return runner != nullptr && runner->abandon(key_);
}

bool AttemptHandle::abandon_unwritten() {
  if (runner_ == nullptr || !runner_->abandon_unwritten(key_)) {
    return false;
  }
  runner_ = nullptr;
  return true;
}

bool AttemptHandle::abandon_undelivered() {
  if (runner_ == nullptr || !runner_->abandon_undelivered(key_)) {
    return false;
  }
  runner_ = nullptr;
  return true;
}

bool AttemptHandle::deliver_started() {
  return runner_ != nullptr && runner_->deliver_started(key_);
}

bool AttemptHandle::is_being_written() const {
  return runner_ != nullptr && runner_->is_being_written(key_);
}

bool AttemptHandle::has_connection() const {
  return runner_ != nullptr && runner_->has_connection(key_);
}

}  // namespace quota_gateway::net
