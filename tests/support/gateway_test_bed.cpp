#include "support/gateway_test_bed.hpp"

#include <gtest/gtest.h>

#include <string>

namespace quota_gateway::net::testing {
namespace {

ClassSettings profile_read_class() {
  ClassSettings settings;
  settings.name = "profile-read";
  settings.idempotency = Idempotency::kIdempotent;
  return settings;
}

ClassSettings intro_request_class() {
  ClassSettings settings;
  settings.name = "intro-request";
  settings.idempotency = Idempotency::kIdempotencyKey;
  settings.latency_objective = 2'000'000;
  settings.late_value_fraction = 0.2;
  settings.dedup_window = 8'000'000;
  return settings;
}

Settings default_settings() {
  PlanSettings plan;
  plan.name = "plan-group";
  plan.quota_rate = 1000;
  plan.quota_burst = 1000;

  Settings settings;
  settings.zone = "a";
  settings.gateway_count = 3;
  settings.max_attempts = 4;
  settings.cancellation_allowed = true;
  settings.retry_after_allowed = true;
  settings.max_retry_after = 2'000'000;
  settings.drain_grace = 500'000;
  settings.classes = {profile_read_class(), intro_request_class()};
  settings.plans = {plan};
  return settings;
}

}  // namespace

GatewayTestBed::GatewayTestBed() : discovery(io) {
  config.name = "n0";
  config.listen_address = {asio::ip::address_v4::loopback(), 0};
  config.discovery_address = discovery.address();
  config.seed = 7;
  config.settings = default_settings();
  config.persisted_endpoints.complete = true;
  config.persisted_endpoints.revision = 41;
}

GatewayServer& GatewayTestBed::start() {
  server.emplace(io, config);
  if (!config.persisted_endpoints.endpoints.empty() && !discovery.unresponsive) {
    EXPECT_TRUE(run_until(
        [&] { return server->render_stats().find("app.targets=0\n") == std::string::npos; }));
  }
  return *server;
}

}  // namespace quota_gateway::net::testing
