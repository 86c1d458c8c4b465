// Recognises a response that has the same bytes as another one. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace quota_gateway::net {

// The number of bytes of a response and a hash of the first of them. Two responses with the same
// fingerprint are taken for equal.
class ResponseFingerprint {
 public:
  // Adds the next bytes, in pieces of any size.
  void add(std::string_view bytes);
  bool is_empty() const { return size_ == 0; }
  bool operator==(const ResponseFingerprint&) const = default;

 private:
  static constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;

  std::uint64_t hash_ = kFnvOffsetBasis;
  std::size_t size_ = 0;
};

}  // namespace quota_gateway::net
