// The random delays between attempts.
#include "net/event_loop/backoff.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace quota_gateway::net::testing {
namespace {

constexpr Micros kSecond = 1'000'000;

// If the delays were not spread, the gateways of a fleet that started simultaneously would repeat
// their requests simultaneously each time.
TEST(Backoff, DelaysGrowAndAreSpreadOverTheirRange) {
  constexpr Micros kInitialLimit = 100'000;
  constexpr Micros kMaxLimit = 1'600'000;
  // For each attempt, the tenths of its limit that contain at least one delay.
  std::vector<std::set<Micros>> tenths_by_attempt(5);
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    Backoff backoff(kInitialLimit, kMaxLimit, seed);
    for (int round = 0; round < 2; ++round) {
      Micros limit = kInitialLimit;
      for (std::set<Micros>& tenths : tenths_by_attempt) {
        const Micros delay = backoff.next();
        EXPECT_GE(delay, 0);
        EXPECT_LE(delay, limit);
        tenths.insert(delay * 10 / limit);
        limit = std::min(4 * limit, kMaxLimit);
      }
      backoff.reset();
    }
  }
  for (const std::set<Micros>& tenths : tenths_by_attempt) {
    EXPECT_GE(tenths.size(), 10U);
  }
}

// Returns the number of requests in each second of a minute from `gateways` gateways, if each
// request is rejected.
std::vector<int> requests_by_second(int gateways) {
  std::vector<int> requests(60);
  for (int gateway = 0; gateway < gateways; ++gateway) {
    Backoff backoff(kSecond, 16 * kSecond, std::uint64_t(gateway + 1));
    for (Micros at = 0; at < 60 * kSecond; at += backoff.next()) {
      ++requests[std::size_t(at / kSecond)];
    }
  }
  return requests;
}

TEST(Backoff, AFleetWithRejectedRequestsRepeatsThemRarely) {
  for (const int gateways : {2, 20, 100}) {
    const std::vector<int> by_second = requests_by_second(gateways);
    int max_in_a_second = 0;
    int after_ten_seconds = 0;
    for (std::size_t second = 10; second < by_second.size(); ++second) {
      max_in_a_second = std::max(max_in_a_second, by_second[second]);
      after_ten_seconds += by_second[second];
    }
    EXPECT_LE(after_ten_seconds, gateways * 50 / 4) << gateways;
    EXPECT_LE(max_in_a_second, 3 + gateways / 3) << gateways;
    EXPECT_GE(after_ten_seconds, gateways * 2) << gateways;
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
