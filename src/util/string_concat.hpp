// Concatenation of values of any printable types to one string, for log lines.
#pragma once

#include <sstream>
#include <string>

namespace quota_gateway {

// Formats each part with operator<< and concatenates the results without a separator.
template <typename... Parts>
std::string concat(const Parts&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  return text.str();
}

}  // namespace quota_gateway
