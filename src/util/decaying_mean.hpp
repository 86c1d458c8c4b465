// A mean in which the weight of each sample decays exponentially with its age.
#pragma once

#include "quota_gateway/gateway.hpp"

namespace quota_gateway {

// Returns the remaining weight of a sample of this age: 1 at age 0, 1/e after `time_constant`.
double decay_factor(Micros age, Micros time_constant);

// Mean of ratios that are expected to be close to 1. The times passed to one object must not
// decrease.
class DecayingMean {
 public:
  // Adds a sample of weight 1, after reducing the weights of the earlier samples by their age.
  // `time_constant` is in microseconds.
  void add(Micros now, Micros time_constant, double sample);

  // Returns the mean of the added samples and of `prior_samples` samples of value 1, which do not
  // decay. Returns exactly 1 before the first sample.
  double mean(Micros now, Micros time_constant, double prior_samples) const;

 private:
  double weighted_sum_ = 0;
  double weight_ = 0;
  Micros updated_at_ = 0;
};

}  // namespace quota_gateway
