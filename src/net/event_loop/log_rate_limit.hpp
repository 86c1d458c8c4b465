// How often a fault that goes on is logged. Owned by the log that asks it.
#pragma once

#include <optional>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class LogRateLimit {
 public:
  static constexpr Micros kMinInterval = 10'000'000;  // us between two lines

  // Whether a line may be logged now. If so, it counts as logged.
  bool try_log(Micros now);
  // A line was logged without asking.
  void on_logged(Micros now) { last_logged_at_ = now; }

 private:
  std::optional<Micros> last_logged_at_;
};

}  // namespace quota_gateway::net
