#include "request_generator.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string>
#include <utility>

namespace quota_gateway::scale {
namespace {

constexpr Micros kClientTimeout = 4'000'000;
constexpr double kMicrosPerSecond = 1e6;
// An assumption: a request comes from tenant number draw^kTenantSkew * tenants, where draw is
// uniform between 0 and 1.
constexpr double kTenantSkew = 3;
constexpr std::size_t kMaxNameBytes = 20;

std::string tenant_name(std::size_t number) {
  std::array<char, kMaxNameBytes> name{};
  std::snprintf(name.data(), name.size(), "%016zx", number);
  return name.data();
}

}  // namespace

RequestGenerator::RequestGenerator(const FleetOptions& options, std::size_t gateway_index,
                                   net::Timers& timers, std::mt19937_64& random, DueHandler on_due)
    : options_(options),
      gateway_index_(gateway_index),
      timers_(timers),
      random_(random),
      on_due_(std::move(on_due)) {}

void RequestGenerator::set_rate(double requests_per_s) {
  requests_per_s_ = requests_per_s;
  ++rate_changes_;
  if (requests_per_s_ > 0) {
    wait_for_next(rate_changes_);
  }
}

void RequestGenerator::wait_for_next(int rate_changes) {
  const double wait_s = std::exponential_distribution<>(requests_per_s_)(random_);
  timers_.after(Micros(wait_s * kMicrosPerSecond), [this, rate_changes] {
    if (rate_changes != rate_changes_) {
      return;
    }
    on_due_();
    wait_for_next(rate_changes);
  });
}

RequestArrived RequestGenerator::next_request(Micros now) {
  const int spread = std::max(1, std::min(options_.gateways_per_tenant, int(options_.gateways)));
  // Each set of `spread` consecutive gateways shares its tenants.
  const std::size_t gateway_set = gateway_index_ / std::size_t(spread);
  const std::size_t tenants = std::max<std::size_t>(1, options_.tenants_per_gateway);
  const std::size_t tenant = draw_tenant();
  ++last_request_;
  const Settings& settings = options_.settings;
  RequestArrived request;
  request.id = std::to_string(last_request_);
  request.customer = tenant_name(gateway_set * tenants + tenant);
  request.plan = settings.plans.at(tenant % settings.plans.size()).name;
  request.request_class = settings.classes.at(last_request_ % settings.classes.size()).name;
  request.deadline = now + kClientTimeout;
  request.gateway_subset_size = spread;
  request.gateway_subset_start = int(gateway_set * std::size_t(spread));
  return request;
}

// Returns each tenant once at first, so that a gateway has received requests of all of them.
std::size_t RequestGenerator::draw_tenant() {
  const std::size_t tenants = std::max<std::size_t>(1, options_.tenants_per_gateway);
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  if (last_request_ < tenants) {
    return std::size_t(last_request_);
  }
  return std::size_t(std::pow(draw, kTenantSkew) * double(tenants));
}

}  // namespace quota_gateway::scale
