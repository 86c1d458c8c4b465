#include "fleet_options.hpp"

#include "layout.hpp"

namespace quota_gateway::scale {
namespace {

constexpr std::size_t kSpareDescriptors = 200;
constexpr std::size_t kEndsPerConnection = 2;
constexpr std::size_t kDescriptorsPerEventLoop = 3;

PlanSettings plan(const char* name, double quota_rate, double quota_burst) {
  PlanSettings settings;
  settings.name = name;
  settings.quota_rate = quota_rate;
  settings.quota_burst = quota_burst;
  return settings;
}

}  // namespace

Settings FleetOptions::default_settings() {
  Settings settings;
  settings.zone = zone_name(0);
  settings.max_attempts = 3;
  settings.cancellation_allowed = true;
  settings.retry_after_allowed = true;
  settings.max_retry_after = 2'000'000;
  settings.drain_grace = 250'000;
  ClassSettings read;
  read.name = "read";
  read.idempotency = Idempotency::kIdempotent;
  ClassSettings write;
  write.name = "write";
  settings.classes = {read, write};
  settings.plans = {plan("small", 20, 40), plan("large", 400, 800)};
  return settings;
}

std::size_t descriptors_needed(const FleetOptions& options) {
  const std::size_t connections_per_gateway = options.counter ? 2 : 1;
  return kEndsPerConnection * options.gateways * connections_per_gateway +
         kDescriptorsPerEventLoop * options.groups + kSpareDescriptors;
}

}  // namespace quota_gateway::scale
