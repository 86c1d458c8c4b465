// Counts the outcomes of attempts, for the log.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class OutcomeCounts {
 public:
  void add(Outcome outcome);

  // Counts an attempt that this gateway cancelled because its endpoint had stalled. Replaces the
  // call of `add` for this attempt.
  void add_stalled();

  void add_ejection();

  // Returns the counts as text for the log, without outcomes that did not occur.
  std::string text() const;

 private:
  static constexpr std::size_t kStalled = static_cast<std::size_t>(Outcome::kNotSent) + 1;

  std::array<int, kStalled + 1> counts_{};  // by outcome, followed by the stalled attempts
  int ejections_ = 0;
};

}  // namespace quota_gateway::policy
