// The seeds of the soaks, which QUOTA_GATEWAY_SOAK_SEEDS=FIRST-LAST replaces for long runs.
#pragma once

#include <cstdio>
#include <cstdlib>

namespace quota_gateway::net::testing {

struct SeedRange {
  int first = 1;
  int last = 6;
};

inline SeedRange soak_seeds() {
  SeedRange range;
  if (const char* text = std::getenv("QUOTA_GATEWAY_SOAK_SEEDS")) {
    std::sscanf(text, "%d-%d", &range.first, &range.last);
  }
  return range;
}

}  // namespace quota_gateway::net::testing
