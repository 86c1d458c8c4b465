#include "policy/endpoints/outcome_counts.hpp"

#include "util/string_concat.hpp"

namespace quota_gateway::policy {

void OutcomeCounts::add(Outcome outcome) {
  ++counts_[static_cast<std::size_t>(outcome)];
}

void OutcomeCounts::add_stalled() {
  ++counts_[kStalled];
}

void OutcomeCounts::add_ejection() {
  ++ejections_;
}

std::string OutcomeCounts::text() const {
  // In the order of Outcome.
  static constexpr std::array<const char*, kStalled + 1> kNames = {
      "ok",    "error",     "overloaded", "timed out", "connect failed",
      "reset", "cancelled", "not sent",   "stalled"};
  std::string text = concat("ejections ", ejections_, ", attempts:");
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    if (counts_[i] > 0) {
      text += concat(" ", kNames[i], " ", counts_[i]);
    }
  }
  return text;
}

}  // namespace quota_gateway::policy
