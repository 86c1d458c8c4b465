#include "net/discovery/endpoint_list.hpp"

namespace quota_gateway::net {

std::size_t memory_bytes(const ListedEndpoint& endpoint) {
  // Characters that std::string stores without an allocation.
  constexpr std::size_t kInlineCapacity = 15;
  // Approximate bytes that an allocation takes beyond its content.
  constexpr std::size_t kAllocationOverhead = 24;
  // A block of the deque holds several endpoints, so its allocation overhead is divided among them.
  std::size_t bytes = sizeof(ListedEndpoint) + kAllocationOverhead / 3;
  for (const std::string* text : {&endpoint.entry.server, &endpoint.entry.zone}) {
    if (text->capacity() > kInlineCapacity) {
      bytes += text->capacity() + kAllocationOverhead;
    }
  }
  return bytes;
}

}  // namespace quota_gateway::net
