// How attempts ended, counted for the log.
#pragma once

#include <array>
#include <cstddef>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class OutcomeCounts {
 public:
  void add(Outcome outcome);

  // An attempt that this gateway cancelled since its endpoint had stalled, whatever its outcome.
  void add_stalled();

  void add_ejection();

  // For the log; leaves out outcomes that did not occur.
  std::string text() const;

 private:
  static constexpr std::size_t kStalled = static_cast<std::size_t>(Outcome::kNotSent) + 1;

  std::array<int, kStalled + 1> counts_{};  // by outcome, and the stalled ones
  int ejections_ = 0;
};

}  // namespace quota_gateway::policy
