// Tests of Report, which writes measurements as JSON lines and as a table, and of fit_line().
#include "report.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>

namespace quota_gateway::scale {
namespace {

using nlohmann::json;

Measurement measurement(double servers, double value, double gateways = 300) {
  return {"module.list", "list", {{"servers", servers}, {"gateways", gateways}}, value, "ms"};
}

std::vector<json> parsed(const std::string& text) {
  std::vector<json> out;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    out.push_back(json::parse(line));
  }
  return out;
}

TEST(Fit, FindsAnExactLineAndItsValueAtTheTarget) {
  const Fit fit = fit_line({{200, 7}, {2'000, 43}, {20'000, 403}}, 170'000);
  EXPECT_NEAR(fit.intercept, 3, 1e-9);
  EXPECT_NEAR(fit.slope, 0.02, 1e-12);
  EXPECT_NEAR(fit.target_value, 3'403, 1e-6);
  EXPECT_DOUBLE_EQ(fit.extrapolation, 8.5);
  EXPECT_NEAR(fit.deviation, 0, 1e-9);
  EXPECT_EQ(fit.points, 3U);
}

TEST(Fit, ReportsTheLargestDeviationWithItsSign) {
  // The means are 2 and 3 and the slope is (1 + 0 + 3) / 2. The middle point lies 2 below that
  // line.
  const Fit fit = fit_line({{1, 2}, {2, 1}, {3, 6}}, 3);
  EXPECT_NEAR(fit.slope, 2, 1e-9);
  EXPECT_NEAR(fit.intercept, -1, 1e-9);
  EXPECT_NEAR(fit.deviation, -2, 1e-9);
  EXPECT_DOUBLE_EQ(fit.deviation_at, 2);
  EXPECT_NEAR(fit.deviation_fraction, -2, 1e-9);
  EXPECT_DOUBLE_EQ(fit.extrapolation, 1);
}

TEST(Fit, FewerThanTwoSizesHaveNoSlope) {
  EXPECT_DOUBLE_EQ(fit_line({{5, 7}}, 10).target_value, 7);
  EXPECT_DOUBLE_EQ(fit_line({{5, 7}, {5, 9}}, 10).slope, 0);
  EXPECT_DOUBLE_EQ(fit_line({}, 10).target_value, 0);
}

TEST(Report, WritesEachMeasurementImmediatelyAsAJsonLineWithTheSeed) {
  std::ostringstream lines;
  Report report(&lines, 42);
  report.add(measurement(200, 1.5));
  const auto out = parsed(lines.str());
  ASSERT_EQ(out.size(), 1U);
  EXPECT_EQ(
      out[0],
      json::parse(R"({"scenario":"module.list","name":"list","seed":42,"value":1.5,"unit":"ms",
                                    "at":{"servers":200.0,"gateways":300.0}})"));
}

TEST(Report, FitsOneLineForEachValueOfTheOtherSizes) {
  std::ostringstream lines;
  Report report(&lines);
  for (double n : {200, 2'000, 20'000}) {
    report.add(measurement(n, n, 300));
    report.add(measurement(n, 2 * n, 7'400));
  }
  report.add({"module.list", "other", {{"servers", 9}}, 1e9, "ms"});
  report.add({"another", "list", {{"servers", 9}}, 1e9, "ms"});
  report.fit("module.list", "list", "servers", 170'000);
  ASSERT_EQ(report.fits().size(), 2U);
  EXPECT_NEAR(report.fits()[0].target_value, 170'000, 1e-3);
  EXPECT_NEAR(report.fits()[1].target_value, 340'000, 1e-3);
  EXPECT_DOUBLE_EQ(report.fits()[1].at.at("gateways"), 7'400);
  const auto out = parsed(lines.str());
  ASSERT_EQ(out.size(), 10U);
  EXPECT_EQ(out[9]["fit"], "list");
  EXPECT_EQ(out[9]["by"], "servers");
  EXPECT_EQ(out[9]["points"], 3);
  EXPECT_DOUBLE_EQ(out[9]["extrapolated"].get<double>(), 8.5);
}

TEST(Report, NotesAFitWithoutMeasurements) {
  std::ostringstream lines;
  Report report(&lines);
  report.fit("module.list", "list", "servers", 170'000);
  EXPECT_TRUE(report.fits().empty());
  EXPECT_NE(lines.str().find("no measurements to fit"), std::string::npos);
}

TEST(Report, TableIsAlignedAndContainsMeasurementsFitsAndNotes) {
  Report report(nullptr);
  report.add(measurement(200, 1.5));
  report.add(measurement(20'000, 150));
  report.fit("module.list", "list", "servers", 170'000);
  report.note("module.list", "an observed deviation");
  std::ostringstream table;
  report.table(table);
  std::istringstream lines(table.str());
  std::string head;
  std::string first_row;
  std::string second_row;
  std::getline(lines, head);
  std::getline(lines, first_row);
  std::getline(lines, second_row);
  EXPECT_EQ(head.find(" at ") + 1, first_row.find("gateways 300"));
  EXPECT_EQ(first_row.size(), second_row.size());
  EXPECT_NE(second_row.find("servers 20000"), std::string::npos);
  EXPECT_NE(table.str().find("8.5x"), std::string::npos);
  EXPECT_NE(table.str().find("module.list: an observed deviation\n"), std::string::npos);
}

TEST(Report, TableNumbersFrom1UpwardsHaveNoExponent) {
  Report report(nullptr);
  report.add(measurement(200, 123'456.7));
  report.add(measurement(200, 0.000'012'34));
  report.add(measurement(200, 12.345'6));
  std::ostringstream table;
  report.table(table);
  EXPECT_NE(table.str().find(" 123457 "), std::string::npos) << table.str();
  EXPECT_NE(table.str().find(" 1e-05 "), std::string::npos) << table.str();
  EXPECT_NE(table.str().find(" 12.35 "), std::string::npos) << table.str();
}

}  // namespace
}  // namespace quota_gateway::scale
