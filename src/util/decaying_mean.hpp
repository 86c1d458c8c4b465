// A mean whose samples count less the older they are.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway {

// The weight that evidence of this age has left: 1 when fresh, 1/e after `time_constant`.
double decay_factor(Micros age, Micros time_constant);

// A mean of ratios around 1. Instants passed to one object must not go backwards.
class DecayingMean {
 public:
  // Adds a sample of weight 1; earlier ones decay by `time_constant` (us).
  void add(Micros now, Micros time_constant, double sample);

  // The mean, with `prior_samples` samples of value 1 beside those added. Exactly 1 before any
  // sample.
  double mean(Micros now, Micros time_constant, double prior_samples) const;

 private:
  double weighted_sum_ = 0;
  double weight_ = 0;
  Micros updated_at_ = 0;
};

}  // namespace quota_gateway
