#include "settings/settings_parser.hpp"

#include <gtest/gtest.h>

namespace quota_gateway {
namespace {

TEST(SettingsParser, ParsesKnownFieldsAndIgnoresUnknownOnes) {
  const Settings settings = parse_settings(
      nlohmann::json::parse(R"({"Az":"z","New":{"x":[1]},"ReplicasOfMe":3,"Position":2,
    "Classes":[{"Name":"c","ObjectiveUs":5,"GiveUpUs":9,"Repeat":"keyed","DedupScope":"zone","WindowUs":7}],
    "TiersOfService":[{"Name":"p","QuotaRate":4.2,"Depth":19,"MaxOut":2,"NeverOverRate":8,"HardBurst":40}],
    "Limits":{"MaxAttempts":4,"MayCancel":true},"Extra":{"SharedCounter":true,"CounterTimeoutUs":80000},
    "Obligations":{"ColdShare":0.2,"TipMultiple":4.0,"TipAfterUs":3000000}})"));
  EXPECT_EQ(settings.zone, "z");
  EXPECT_EQ(settings.gateway_count, 3);
  EXPECT_EQ(settings.classes.at(0).idempotency, Idempotency::kIdempotencyKey);
  EXPECT_EQ(settings.classes[0].dedup_scope, DedupScope::kZone);
  EXPECT_EQ(settings.classes[0].dedup_window, 7);
  EXPECT_DOUBLE_EQ(settings.plans.at(0).quota_rate, 4.2);
  EXPECT_EQ(settings.plans[0].max_concurrent_attempts, 2);
  EXPECT_TRUE(settings.has_counter && settings.cancellation_allowed);
  EXPECT_EQ(settings.slow_start_overload_window, 3000000);
}

}  // namespace
}  // namespace quota_gateway
