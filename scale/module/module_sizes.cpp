// Sizes at which the decision module's scenarios measure, and estimates of the memory that they
// need.
#include "module/module_slopes.hpp"
#include "slope_sizes.hpp"

namespace quota_gateway::scale {
namespace {

constexpr std::size_t kSmallFleetGateways = 300;

// Estimates of memory in bytes, rounded up.
constexpr double kBaseBytes = 30e6;
constexpr double kBytesPerServer = 3'000;
constexpr double kBytesPerClass = 2'500;
constexpr double kBytesPerTenant = 1'500;

std::uint64_t memory_of(double bytes_per_item, const std::vector<std::size_t>& counts) {
  return to_bytes(kBaseBytes + bytes_per_item * double(counts.back()));
}

}  // namespace

std::vector<std::size_t> module_gateway_counts(const Options& options) {
  if (options.gateways > 0) {
    return {options.gateways};
  }
  return {kSmallFleetGateways, Target{}.gateways};
}

std::size_t max_module_gateways(const Options& options) {
  return module_gateway_counts(options).back();
}

std::vector<std::size_t> module_class_counts(const Options& options) {
  std::vector<std::size_t> counts = class_counts(options);
  if (!options.small) {
    counts.push_back(Target{}.routes);
  }
  return counts;
}

std::vector<std::size_t> module_tenant_counts(const Options& options) {
  if (options.small) {
    return {20, 200, 1'000, 3'000};
  }
  return {200, 2'000, 20'000, 200'000};
}

std::uint64_t module_server_memory(const Options& options) {
  return memory_of(kBytesPerServer, server_counts(options));
}

std::uint64_t module_class_memory(const Options& options) {
  return memory_of(kBytesPerClass, module_class_counts(options));
}

std::uint64_t module_tenant_memory(const Options& options) {
  return memory_of(kBytesPerTenant, module_tenant_counts(options));
}

}  // namespace quota_gateway::scale
