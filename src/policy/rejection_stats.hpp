// What the log tells of a bad day: counts since last told, and their text. Decides nothing.
#pragma once

#include <string>
#include <utility>

#include "quota_gateway/gateway.hpp"
#include "util/string_join.hpp"

namespace quota_gateway {

// Requests that were refused, by reason.
struct RejectionCounts {
  int asked = 0, slice = 0, blind = 0, within = 0, ceiling = 0, sliced = 0, servers = 0;

  bool any() const { return slice + ceiling + servers > 0; }
  std::string text() const {
    return join("slice ", slice, " (no total ", blind, ", demand within quota ", within,
                "), ceiling ", ceiling, " (slice had it ", sliced, "), servers ", servers, " of ",
                asked, "; ");
  }
};

}  // namespace quota_gateway
