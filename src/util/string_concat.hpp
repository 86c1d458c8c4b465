// Text of values one after another, as a log line needs it.
#pragma once

#include <sstream>
#include <string>

namespace quota_gateway {

// Each part as operator<< writes it, with nothing between.
template <typename... Parts>
std::string concat(const Parts&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  return text.str();
}

}  // namespace quota_gateway
