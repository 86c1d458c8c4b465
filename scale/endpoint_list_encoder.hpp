// Encodes endpoint lists as discovery's protocol words them. Pure functions, called by
// FakeDiscovery.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "listed_server.hpp"

namespace quota_gateway::scale {

enum class ListKind : std::uint8_t { kComplete, kPartial };

// Writes one list object, a server at a time.
class EndpointListEncoder {
 public:
  EndpointListEncoder(std::int64_t revision, ListKind kind);
  void add(const ListedServer& server);
  // Ends the object with a line feed and returns it. Nothing may be added after that.
  std::string finish();

 private:
  std::string text_;
  bool is_empty_ = true;
};

// The text in chunks of at most 32 KB, as HTTP/1.1 sends a body whose length is not known; without
// the last chunk, which would end the body.
std::string encode_chunked(std::string_view text);

}  // namespace quota_gateway::scale
