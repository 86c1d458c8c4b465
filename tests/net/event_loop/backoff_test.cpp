// The random waits between attempts.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "net/event_loop/timers.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST(Backoff, WaitsGrowAndAreSpread) {
  // Guards against a fleet that started at once and sends its requests at once, again and again.
  std::vector<std::set<Micros>> waits(5);
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Backoff backoff(100'000, 1'600'000, seed);
    for (int round = 0; round < 2; ++round, backoff.reset()) {
      for (std::size_t i = 0; i < waits.size(); ++i) {
        const Micros most = std::min<Micros>(1'600'000, 100'000 << (2 * i));
        const Micros wait = backoff.next();
        EXPECT_GE(wait, 0);
        EXPECT_LE(wait, most);
        waits[i].insert(wait * 10 / most);
      }
    }
  }
  for (const auto& different : waits) {
    EXPECT_GE(different.size(), 10U);
  }
}

TEST(Backoff, RequestsOfARejectedFleetThinOut) {
  // As gateways are added, and whatever moment they start at, none sends requests more often than
  // the bound allows.
  for (const int gateways : {2, 20, 100}) {
    std::vector<int> in_second(60);
    for (int gateway = 0; gateway < gateways; ++gateway) {
      Backoff backoff(1'000'000, 16'000'000, std::uint64_t(gateway + 1));
      for (Micros at = 0; at < 60'000'000; at += backoff.next()) {
        ++in_second[std::size_t(at / 1'000'000)];
      }
    }
    int most = 0;
    int later = 0;
    for (std::size_t second = 10; second < 60; ++second) {
      most = std::max(most, in_second[second]);
      later += in_second[second];
    }
    EXPECT_LE(later, gateways * 50 / 4) << gateways;
    EXPECT_LE(most, 3 + gateways / 3) << gateways;
    EXPECT_GE(later, gateways * 2) << gateways;
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
