// Ownership of a file descriptor.
#pragma once

namespace quota_gateway::net {

// Owns a file descriptor, or none, and closes it on destruction.
class OwnedDescriptor {
 public:
  OwnedDescriptor() = default;
  explicit OwnedDescriptor(int fd) : fd_(fd) {}
  OwnedDescriptor(OwnedDescriptor&& other) noexcept : fd_(other.release()) {}
  OwnedDescriptor& operator=(OwnedDescriptor&& other) noexcept;
  OwnedDescriptor(const OwnedDescriptor&) = delete;
  OwnedDescriptor& operator=(const OwnedDescriptor&) = delete;
  ~OwnedDescriptor();

  bool is_open() const { return fd_ >= 0; }
  // -1 if there is none, as in system calls.
  int get() const { return fd_; }
  // Gives up ownership: the caller must close the descriptor.
  int release();

 private:
  int fd_ = -1;
};

}  // namespace quota_gateway::net
