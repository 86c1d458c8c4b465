// Encodes endpoint lists in the format of the discovery protocol. Used by FakeDiscovery.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "listed_server.hpp"

namespace quota_gateway::scale {

// Whether a list has all servers or only those that changed.
enum class ListKind : std::uint8_t { kComplete, kPartial };

// Encodes one list object, server by server.
class EndpointListEncoder {
 public:
  EndpointListEncoder(std::int64_t revision, ListKind kind);
  void add(const ListedServer& server);
  // Ends the object with a line feed and returns it. The encoder must not be used afterwards.
  std::string finish();

 private:
  std::string text_;
  bool is_empty_ = true;
};

// Splits the text into HTTP/1.1 chunks of at most 32 KB, as for a body of unknown length, without
// the empty last chunk that ends the body.
std::string encode_chunked(std::string_view text);

}  // namespace quota_gateway::scale
