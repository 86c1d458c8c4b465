// How attempts ended, counted for the log: nothing that decides.
#pragma once

#include <array>

#include "quota_gateway/gateway.hpp"
#include "util/string_join.hpp"

namespace quota_gateway {

class OutcomeCounts {
 public:
  // `blamed`: cancelled by us because its server had stalled.
  void add(Outcome outcome, bool blamed) { ++counts_[blamed ? kBlamed : std::size_t(outcome)]; }
  void add_ejection() { ++ejections_; }

  std::string text() const {
    static constexpr const char* kNames[] = {" ok ",        " error ",       " full ",
                                             " late ",      " unconnected ", " reset ",
                                             " cancelled ", " not sent ",    " blamed "};
    std::string out = join(ejections_, " times, ended:");
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      if (counts_[i] > 0) {
        out += join(kNames[i], counts_[i]);
      }
    }
    return out;
  }

 private:
  static constexpr std::size_t kBlamed = std::size_t(Outcome::kNotSent) + 1;  // beside the outcomes
  std::array<int, kBlamed + 1> counts_{};
  int ejections_ = 0;
};

}  // namespace quota_gateway
