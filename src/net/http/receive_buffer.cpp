#include "net/http/receive_buffer.hpp"

namespace quota_gateway::net {

void ReceiveBuffer::append(const char* bytes, std::size_t count) {
  bytes_.reserve(bytes_.size() + count);  // exactly; insert() alone would double the capacity
  bytes_.insert(bytes_.end(), bytes, bytes + count);
}

void ReceiveBuffer::consume(std::size_t count) {
  const auto rest = bytes_.begin() + std::ptrdiff_t(count);
  const std::size_t rest_size = bytes_.size() - count;
  if (bytes_.capacity() > rest_size + kMaxUnusedBytes) {
    std::vector<char>(rest, bytes_.end()).swap(bytes_);
  } else {
    bytes_.erase(bytes_.begin(), rest);
  }
}

}  // namespace quota_gateway::net
