// Parses the commands of the counter protocol, which are RESP arrays of bulk strings. A pure
// function, called by FakeCounter's connections.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace quota_gateway::scale {

// The result of parsing.
struct RespCommand {
  enum class Status : std::uint8_t { kComplete, kIncomplete, kMalformed };
  Status status = Status::kIncomplete;
  // Views into the received bytes. Like `size`, set only for a complete command.
  std::vector<std::string_view> words = {};
  // Bytes of the complete command.
  std::size_t size = 0;
};

// Parses the command at the beginning of the received bytes. Anything but an array of bulk strings
// is malformed, and so is a count or size above 16,384.
RespCommand parse_resp_command(std::string_view received);

}  // namespace quota_gateway::scale
