#include "process/read_request.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace quota_gateway::scale {
namespace {

std::string hex_id(std::uint64_t number) {
  constexpr std::size_t kDigits = 16;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, number);
  return text.data();
}

}  // namespace

std::string render(const ReadRequest& request) {
  return "GET /read/" + hex_id(request.customer) +
         " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + hex_id(request.trace_id) +
         "\r\nPlan: plan\r\nX-Expires-In: " + std::to_string(request.expires_in_ms) +
         "m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n";
}

}  // namespace quota_gateway::scale
