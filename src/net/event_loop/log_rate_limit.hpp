// Limits how often a persisting fault is logged. Owned by the module that writes the log lines.
#pragma once

#include <optional>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Allows one log line, and then none until more than kMinInterval has passed.
class LogRateLimit {
 public:
  static constexpr Micros kMinInterval = 10'000'000;  // us

  // Returns whether a line may be logged now. If so, the line counts as logged.
  bool try_log(Micros now);
  // Records that a line was logged without a call of try_log().
  void on_logged(Micros now) { last_logged_at_ = now; }

 private:
  std::optional<Micros> last_logged_at_;
};

}  // namespace quota_gateway::net
