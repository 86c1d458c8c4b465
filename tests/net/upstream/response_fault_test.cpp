#include "net/upstream/response_fault.hpp"

#include <gtest/gtest.h>

#include <set>
#include <string_view>

namespace quota_gateway::net::testing {
namespace {

TEST(ResponseFault, EachHasItsOwnDescriptionAndMetric) {
  std::set<std::string_view> descriptions;
  std::set<std::string_view> metrics;
  for (std::size_t index = 0; index < kResponseFaultCount; ++index) {
    descriptions.insert(describe(ResponseFault(index)));
    metrics.insert(metric_name(ResponseFault(index)));
  }
  EXPECT_EQ(descriptions.size(), kResponseFaultCount);
  EXPECT_EQ(metrics.size(), kResponseFaultCount);
}

}  // namespace
}  // namespace quota_gateway::net::testing
