#include "util/decaying_mean.hpp"

#include <cmath>

namespace quota_gateway {

double decay_factor(Micros age, Micros time_constant) {
  return std::exp(-static_cast<double>(age) / static_cast<double>(time_constant));
}

void DecayingMean::add(Micros now, Micros time_constant, double sample) {
  const double decay = decay_factor(now - updated_at_, time_constant);
  weighted_sum_ = weighted_sum_ * decay + sample;
  weight_ = weight_ * decay + 1;
  updated_at_ = now;
}

double DecayingMean::mean(Micros now, Micros time_constant, double prior_samples) const {
  if (weight_ <= 0) {
    return 1;
  }
  const double decay = decay_factor(now - updated_at_, time_constant);
  return (weighted_sum_ * decay + prior_samples) / (weight_ * decay + prior_samples);
}

}  // namespace quota_gateway
