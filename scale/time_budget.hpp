// The wall-clock time limit of a scenario. A scenario with several measurement points creates a
// TimeBudget when it begins and skips the points that would begin after it is exhausted.
#pragma once

#include <chrono>

#include "scenario.hpp"

namespace quota_gateway::scale {

// A deadline that starts with its construction.
class TimeBudget {
 public:
  // Starts now and lasts for the time given by --seconds, or else for `default_seconds`.
  TimeBudget(const Options& options, double default_seconds);

  // Negative after the end of the time limit.
  double seconds_left() const;
  bool is_exhausted() const { return seconds_left() <= 0; }

 private:
  std::chrono::steady_clock::time_point end_;
};

}  // namespace quota_gateway::scale
