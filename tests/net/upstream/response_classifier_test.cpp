// Tests the outcomes and results of responses without a connection.
#include "net/upstream/response_classifier.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace quota_gateway::net::testing {
namespace {

ServerResponse make_response(unsigned status) {
  ServerResponse response;
  response.result(status);
  response.body() = "body";
  return response;
}

ServerResponse with_header(unsigned status, const std::string& name, const std::string& value) {
  ServerResponse response = make_response(status);
  response.set(name, value);
  return response;
}

TEST(ResponseClassifierTest, RecognizesInterimResponsesByTheirNumber) {
  EXPECT_TRUE(is_interim(make_response(100)));
  EXPECT_TRUE(is_interim(make_response(199)));
  EXPECT_FALSE(is_interim(make_response(200)));
  EXPECT_FALSE(is_interim(make_response(99)));
}

TEST(ResponseClassifierTest, ReportsOnlyStatus200AsSuccess) {
  EXPECT_EQ(outcome_of(make_response(200)), Outcome::kOk);
  for (const unsigned status : {201U, 204U, 302U, 404U, 500U, 503U, 504U}) {
    EXPECT_EQ(outcome_of(make_response(status)), Outcome::kError) << status;
  }
}

TEST(ResponseClassifierTest, ReportsOnlyProvenRejectionsAsOverload) {
  EXPECT_EQ(outcome_of(with_header(503, "X-Never-Ran", "1")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(with_header(504, "X-Never-Ran", "1")), Outcome::kOverloaded);
  EXPECT_EQ(outcome_of(with_header(503, "X-Never-Ran", "0")), Outcome::kError);
  EXPECT_EQ(outcome_of(with_header(502, "X-Never-Ran", "1")), Outcome::kError);
}

TEST(ResponseClassifierTest, TheHeaderValuesAreInTheResult) {
  ServerResponse response = with_header(200, "Billed-Units", "3");
  response.set("Usage-Percent", "86");
  response.set("Endpoint-Load-Metrics", "queue=2");
  const AttemptResult result = result_of_head(response);
  EXPECT_EQ(result.outcome, Outcome::kOk);
  EXPECT_EQ(result.billed_units, 3);
  EXPECT_EQ(result.quota_usage_percent, 86);
  EXPECT_EQ(result.load.queued, 2);
}

TEST(ResponseClassifierTest, ReportsOnlyLoadAndQuotaUsageOfAnError) {
  ServerResponse response = with_header(500, "Billed-Units", "3");
  response.set("Usage-Percent", "86");
  const AttemptResult result = result_of_head(response);
  EXPECT_EQ(result.outcome, Outcome::kError);
  EXPECT_TRUE(result.body.empty());
  EXPECT_EQ(result.billed_units, std::nullopt);
  EXPECT_EQ(result.quota_usage_percent, 86);
}

TEST(ResponseClassifierTest, IgnoresImplausibleHeaderValues) {
  ServerResponse response = with_header(200, "Billed-Units", "10001");
  response.set("Usage-Percent", "1000001");
  const AttemptResult result = result_of_head(response);
  EXPECT_EQ(result.outcome, Outcome::kOk);
  EXPECT_EQ(result.billed_units, std::nullopt);
  EXPECT_EQ(result.quota_usage_percent, std::nullopt);
}

}  // namespace
}  // namespace quota_gateway::net::testing
