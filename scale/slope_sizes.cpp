#include "slope_sizes.hpp"

#include <algorithm>
#include <cmath>

namespace quota_gateway::scale {
namespace {

constexpr double kMaxBytes = 1e18;

}  // namespace

std::vector<std::size_t> sizes_up_to(std::size_t largest) {
  std::vector<std::size_t> sizes;
  for (const double fraction : {0.001, 0.01, 0.1, 1.0}) {
    const auto rounded = std::size_t(std::llround(fraction * double(largest)));
    const std::size_t size = std::max<std::size_t>(1, rounded);
    if (sizes.empty() || size > sizes.back()) {
      sizes.push_back(size);
    }
  }
  return sizes;
}

std::vector<std::size_t> server_counts(const Options& options) {
  if (options.servers > 0) {
    return sizes_up_to(options.servers);
  }
  if (options.small) {
    return {20, 200, 1'000, 3'000};
  }
  return {200, 2'000, 20'000, Target{}.servers};
}

std::vector<std::size_t> class_counts(const Options& options) {
  if (options.small) {
    return {10, 100, 500, 2'000};
  }
  return {100, 1'000, 10'000, 100'000};
}

std::uint64_t to_bytes(double estimate) {
  return std::uint64_t(std::min(estimate, kMaxBytes));
}

}  // namespace quota_gateway::scale
