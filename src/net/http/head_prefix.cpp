#include "net/http/head_prefix.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kEndOfFields = "\r\n\r\n";

}  // namespace

std::size_t parseable_head_bytes(std::string_view input, bool start_line_parsed) {
  if (!start_line_parsed) {
    const std::size_t line_end = input.find(kLineEnd);
    return line_end == std::string_view::npos ? 0 : line_end + kLineEnd.size();
  }
  const bool has_no_fields = input.starts_with(kLineEnd);
  const bool is_complete = has_no_fields || input.find(kEndOfFields) != std::string_view::npos;
  return is_complete ? input.size() : 0;
}

}  // namespace quota_gateway::net
