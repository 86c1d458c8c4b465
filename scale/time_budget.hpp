// How long a scenario may go on by the wall clock. Each scenario that has several points makes one
// when it begins and leaves out the points that would begin after it.
#pragma once

#include <chrono>

#include "scenario.hpp"

namespace quota_gateway::scale {

class TimeBudget {
 public:
  // Starts now, and lasts for what --seconds says, or else for `default_seconds`.
  TimeBudget(const Options& options, double default_seconds);

  // Below 0 once the time is up.
  double seconds_left() const;
  bool is_exhausted() const { return seconds_left() <= 0; }

 private:
  std::chrono::steady_clock::time_point end_;
};

}  // namespace quota_gateway::scale
