// Hashes, fading means and random numbers, and text from parts: nothing that decides.
#pragma once

#include <cmath>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway {

inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

inline std::uint64_t hash_text(const std::string& text) {
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (unsigned char ch : text) {
    h = (h ^ ch) * 0x100000001b3ULL;
  }
  return mix(h);
}

inline double fade(Micros age, Micros memory) {
  return std::exp(-double(age) / double(memory));
}

inline double uniform(std::uint64_t& random) {
  return double((random = mix(random)) >> 11) * 0x1p-53;
}

// A mean whose evidence fades.
class DecayingMean {
 public:
  void add(Micros now, Micros memory, double value) {
    const double keep = fade(now - at_, memory);
    sum_ = sum_ * keep + value;
    weight_ = weight_ * keep + 1;
    at_ = now;
  }
  // With so many samples of 1 beside it.
  double mean(Micros now, Micros memory, double samples) const {
    if (weight_ <= 0) {
      return 1;
    }
    const double keep = fade(now - at_, memory);
    return (sum_ * keep + samples) / (weight_ * keep + samples);
  }

 private:
  double sum_ = 0, weight_ = 0;
  Micros at_ = 0;
};

// Amounts and when they were spent.
class SlidingWindowSum {
 public:
  void add(Micros now, double amount) { spent_.emplace_back(now, amount); }
  bool empty() const { return spent_.empty(); }
  // The sum of those younger than `span`; older ones are forgotten.
  double within(Micros now, double span) {
    std::erase_if(spent_, [&](const auto& e) { return double(now - e.first) >= span; });
    double sum = 0;
    for (const auto& [at, amount] : spent_) {
      sum += amount;
    }
    return sum;
  }

 private:
  std::vector<std::pair<Micros, double>> spent_;  // in the order of time
};

std::string join(const auto&... parts) {
  std::ostringstream text;
  (text << ... << parts);
  return text.str();
}

}  // namespace quota_gateway
