#include "net/system_call/owned_descriptor.hpp"

#include <unistd.h>

#include <utility>

namespace quota_gateway::net {

OwnedDescriptor& OwnedDescriptor::operator=(OwnedDescriptor&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

OwnedDescriptor::~OwnedDescriptor() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

int OwnedDescriptor::release() {
  return std::exchange(fd_, -1);
}

}  // namespace quota_gateway::net
