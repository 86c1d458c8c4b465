// Reads the counter's commands: RESP arrays of bulk strings. A pure function, called by
// FakeCounter's connections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace quota_gateway::scale {

struct RespCommand {
  enum class Status : std::uint8_t { kComplete, kIncomplete, kMalformed };
  Status status = Status::kIncomplete;
  // Views into what was received. Only of a complete command, as is `size`.
  std::vector<std::string_view> words = {};
  // Bytes of the whole command.
  std::size_t size = 0;
};

// The command at the beginning of what was received. Anything but an array of bulk strings, each
// count and size at most 16 KB, is malformed.
RespCommand parse_resp_command(std::string_view received);

}  // namespace quota_gateway::scale
