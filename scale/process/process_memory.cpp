// Estimates of what the process slopes take.
#include "process/process_slopes.hpp"
#include "slope_sizes.hpp"

namespace quota_gateway::scale {
namespace {

// Measured, and rounded up, in bytes.
constexpr double kBase = 150e6;
constexpr double kGatewayPerServer = 4'500;
constexpr double kEnvironmentPerServer = 2'500;
constexpr double kPerClass = 6'000;

}  // namespace

std::uint64_t process_base_memory(const Options& /*options*/) {
  return to_bytes(kBase);
}

std::uint64_t process_server_memory(const Options& options) {
  const auto servers = double(server_counts(options).back());
  return to_bytes(kBase + (kGatewayPerServer + kEnvironmentPerServer) * servers);
}

std::uint64_t process_class_memory(const Options& options) {
  return to_bytes(kBase + kPerClass * double(class_counts(options).back()));
}

}  // namespace quota_gateway::scale
