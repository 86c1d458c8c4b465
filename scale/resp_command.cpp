#include "resp_command.hpp"

#include <charconv>

namespace quota_gateway::scale {
namespace {

using Status = RespCommand::Status;

constexpr std::int64_t kMaxLength = 16 << 10;
constexpr std::string_view kLineEnd = "\r\n";

struct Length {
  Status status = Status::kIncomplete;
  std::size_t value = 0;
};

// Parses a line such as "$12\r\n" at the beginning of the input and removes it.
Length take_length(std::string_view& input, char type) {
  const std::size_t end = input.find(kLineEnd);
  if (end == std::string_view::npos) {
    return {Status::kIncomplete};
  }
  if (end == 0 || input.front() != type) {
    return {Status::kMalformed};
  }
  std::int64_t value = -1;
  std::from_chars(input.data() + 1, input.data() + end, value);
  if (value < 0 || value > kMaxLength) {
    return {Status::kMalformed};
  }
  input.remove_prefix(end + kLineEnd.size());
  return {Status::kComplete, std::size_t(value)};
}

}  // namespace

RespCommand parse_resp_command(std::string_view received) {
  std::string_view rest = received;
  const Length count = take_length(rest, '*');
  if (count.status != Status::kComplete) {
    return {count.status};
  }
  RespCommand command;
  for (std::size_t i = 0; i < count.value; ++i) {
    const Length length = take_length(rest, '$');
    if (length.status != Status::kComplete) {
      return {length.status};
    }
    const std::size_t size_with_end = length.value + kLineEnd.size();
    if (rest.size() < size_with_end) {
      return {Status::kIncomplete};
    }
    command.words.push_back(rest.substr(0, length.value));
    rest.remove_prefix(size_with_end);
  }
  command.status = Status::kComplete;
  command.size = received.size() - rest.size();
  return command;
}

}  // namespace quota_gateway::scale
