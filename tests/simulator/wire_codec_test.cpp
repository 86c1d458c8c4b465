#include "simulator/wire_codec.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <variant>

namespace quota_gateway::simulator {
namespace {

using Json = nlohmann::json;

TEST(WireCodec, ParsesEventsAndIgnoresUnknownMessages) {
  const auto event = parse_event(
      Json::parse(
          R"({"what":"Response","Id":"t/a","Billed":null,"DurationUs":18500,"Over":true,"Usage":86,
      "Server":"s","Go":1,"Disposition":"RST","Feedback":{"active":7,"cpu":0.62,"odd":1},"more":0})"),
      {});
  const auto& completed = std::get<AttemptCompleted>(event.value());
  EXPECT_EQ(completed.attempt, 1);
  EXPECT_EQ(completed.outcome, Outcome::kReset);
  EXPECT_EQ(completed.quota_usage_percent, 85);  // the wire value is 1 + percent
  EXPECT_EQ(completed.load.in_flight, 7.0);
  EXPECT_EQ(completed.load.queued, std::nullopt);
  EXPECT_FALSE(
      parse_event(Json::parse(R"({"what":"Datagram","From":1,"Raw":"00"})"), {}).has_value());
}

TEST(WireCodec, WritesActions) {
  EXPECT_EQ(write_action(Reject{"t/a", 0}), Json::parse(R"({"what":"Reject","Id":"t/a"})"));
  EXPECT_EQ(write_action(Reject{"t/a", std::nullopt}),
            Json::parse(R"({"what":"Reject","Id":"t/a"})"));
  EXPECT_EQ(write_action(SendAttempt{"t/a", "s", 5}),
            Json::parse(R"({"what":"Send","Id":"t/a","Server":"s","TryForUs":5})"));
  EXPECT_EQ(write_action(AddToCounter{9, 4, 3}),
            Json::parse(R"({"what":"Tally","Cname":9,"Amount":4.0,"ForgetAfterUs":3})"));
}

}  // namespace
}  // namespace quota_gateway::simulator
