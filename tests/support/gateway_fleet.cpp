#include "support/gateway_fleet.hpp"

#include <cstdint>
#include <utility>

namespace quota_gateway::testing {

Outcome always_ok(const std::string& /*endpoint*/) {
  return Outcome::kOk;
}

GatewayFleet::GatewayFleet(int gateway_count, int endpoint_count, Settings settings) {
  for (int i = 0; i < endpoint_count; ++i) {
    endpoints_.push_back(prefixed_number("s", i));
  }
  settings.gateway_count = gateway_count;
  set_quota(settings, 1e6, 1e6);
  for (int i = 0; i < gateway_count; ++i) {
    settings.gateway_index = i;
    gateways_.emplace_back(settings, make_endpoints(endpoints_), std::uint64_t(100 + i));
  }
  used_endpoints_.resize(gateways_.size());
}

void GatewayFleet::run_round(Micros now, const OutcomeOf& outcome_of) {
  // 10 to 30 ms, the same for all gateways in one round.
  const Micros duration = (10 + now / kMillisecond * 7 % 21) * kMillisecond;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    gateways_[i].run_timers(now);
    gateways_[i].serve_request(now, prefixed_number("r", now), [&](const std::string& endpoint) {
      used_endpoints_[i].insert(endpoint);
      ++attempts_at_[endpoint];
      return ServerResponse{.outcome = outcome_of(endpoint), .duration = duration};
    });
  }
}

void GatewayFleet::run_rounds(int first, int last, Micros interval, const OutcomeOf& outcome_of) {
  for (int i = first; i <= last; ++i) {
    run_round(i * interval, outcome_of);
  }
}

void GatewayFleet::broadcast(Micros now, const Event& event) {
  for (GatewayHarness& gateway : gateways_) {
    gateway.handle(now, {event});
  }
}

void GatewayFleet::reset_usage() {
  for (auto& endpoints : used_endpoints_) {
    endpoints.clear();
  }
  attempts_at_.clear();
}

int GatewayFleet::attempts_at(const std::string& endpoint) const {
  const auto found = attempts_at_.find(endpoint);
  return found == attempts_at_.end() ? 0 : found->second;
}

}  // namespace quota_gateway::testing
