// Bytes of one connection that were received and not parsed yet. The memory follows the bytes that
// are held: it grows by what arrives, not by doubling, and is given back as bytes are consumed.
// Owned by RequestReader and UpstreamConnection. Does no I/O.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace quota_gateway::net {

class ReceiveBuffer {
 public:
  bool empty() const { return bytes_.empty(); }
  std::size_t size() const { return bytes_.size(); }
  const char* data() const { return bytes_.data(); }
  std::string_view view() const { return {bytes_.data(), bytes_.size()}; }
  // Number of bytes for which memory is held, whether they are used or not: at most
  // kMaxUnusedBytes more than size().
  std::size_t allocated_bytes() const { return bytes_.capacity(); }

  void append(const char* bytes, std::size_t count);
  // Removes the first `count` bytes, of which there must be as many.
  void consume(std::size_t count);
  // Removes all bytes and frees their memory.
  void release() { std::vector<char>().swap(bytes_); }

  // The memory is not reallocated for fewer unused bytes.
  static constexpr std::size_t kMaxUnusedBytes = 4 << 10;

 private:
  std::vector<char> bytes_;
};

}  // namespace quota_gateway::net
