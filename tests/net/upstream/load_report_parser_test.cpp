// Tests the parsing of load reports and of single numbers from servers.
#include "net/upstream/load_report_parser.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace quota_gateway::net::testing {
namespace {

TEST(LoadReportParserTest, ParsesANumberThatIsTheCompleteText) {
  EXPECT_EQ(parse_bounded_number("2.5", 10), 2.5);
  EXPECT_EQ(parse_bounded_number("0", 10), 0);
  EXPECT_EQ(parse_bounded_number("10", 10), 10);
}

TEST(LoadReportParserTest, RejectsANumberWithOtherTextOrOutOfRange) {
  for (const char* text : {"", " 1", "1 ", "1x", "x", "-1", "10.1", "nan", "inf", "1e999"}) {
    EXPECT_EQ(parse_bounded_number(text, 10), std::nullopt) << text;
  }
}

TEST(LoadReportParserTest, ParsesEveryNameWithAndWithoutThePrefix) {
  const LoadReport report =
      parse_load_report("TEXT inflight=1, queue=2,cpu=0.5, latency_ms=4, qps=5, eps=6");
  EXPECT_EQ(report.in_flight, 1);
  EXPECT_EQ(report.queued, 2);
  EXPECT_EQ(report.cpu, 0.5);
  EXPECT_EQ(report.service_ms, 4);
  EXPECT_EQ(report.served_per_s, 5);
  EXPECT_EQ(report.errors_per_s, 6);
  const LoadReport synonyms =
      parse_load_report("active=1, waiting=2, util=0.5, avg_ms=4, rps=5, err_rps=6");
  EXPECT_EQ(synonyms.in_flight, 1);
  EXPECT_EQ(synonyms.queued, 2);
  EXPECT_EQ(synonyms.cpu, 0.5);
  EXPECT_EQ(synonyms.service_ms, 4);
  EXPECT_EQ(synonyms.served_per_s, 5);
  EXPECT_EQ(synonyms.errors_per_s, 6);
}

TEST(LoadReportParserTest, IgnoresUnknownNames) {
  const LoadReport report = parse_load_report("TEXT odd=x, , queue=2, other");
  EXPECT_EQ(report.queued, 2);
  EXPECT_EQ(report.in_flight, std::nullopt);
}

TEST(LoadReportParserTest, DiscardsTheReportIfAnyValueIsImplausible) {
  for (const char* text : {"inflight=7, queue=100001", "inflight=7, util=101", "inflight=7, queue",
                           "inflight=7, queue=", "queue=-1, inflight=7"}) {
    EXPECT_EQ(parse_load_report(text).in_flight, std::nullopt) << text;
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
