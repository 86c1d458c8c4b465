// Estimates of the memory that the process scenarios need.
#include "process/process_slopes.hpp"
#include "slope_sizes.hpp"

namespace quota_gateway::scale {
namespace {

// In bytes, rounded up.
constexpr double kBaseBytes = 150e6;
constexpr double kGatewayBytesPerServer = 4'500;
constexpr double kEnvironmentBytesPerServer = 2'500;
constexpr double kBytesPerClass = 6'000;

}  // namespace

std::uint64_t process_base_memory(const Options& /*options*/) {
  return to_bytes(kBaseBytes);
}

std::uint64_t process_server_memory(const Options& options) {
  const auto servers = double(server_counts(options).back());
  return to_bytes(kBaseBytes + (kGatewayBytesPerServer + kEnvironmentBytesPerServer) * servers);
}

std::uint64_t process_class_memory(const Options& options) {
  return to_bytes(kBaseBytes + kBytesPerClass * double(class_counts(options).back()));
}

}  // namespace quota_gateway::scale
