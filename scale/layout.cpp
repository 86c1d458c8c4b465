#include "layout.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

namespace quota_gateway::scale {
namespace {

constexpr std::string_view kIdPrefix = "s-";
constexpr std::size_t kMaxIdBytes = 32;
constexpr int kHexadecimal = 16;
constexpr std::size_t kLetters = 26;

}  // namespace

std::string server_id(std::size_t server) {
  std::array<char, kMaxIdBytes> digits{};
  std::snprintf(digits.data(), digits.size(), "%08zx", server);
  return std::string(kIdPrefix) + digits.data();
}

std::size_t server_number(const std::string& id) {
  std::size_t number = 0;
  std::from_chars(id.data() + kIdPrefix.size(), id.data() + id.size(), number, kHexadecimal);
  return number;
}

std::string zone_name(std::size_t zone) {
  std::string name;
  name += char('a' + zone % kLetters);
  return name;
}

}  // namespace quota_gateway::scale
