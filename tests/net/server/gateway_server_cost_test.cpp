// Processor time that a gateway spends on changes of its endpoint list.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <iostream>
#include <string>
#include <utility>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using GatewayServerCost = ManyEndpointsTest;

#ifdef __SANITIZE_ADDRESS__
constexpr double kSlowdown = 10;  // of the sanitizer build, relative to the released program
#else
constexpr double kSlowdown = 1;
#endif

// Processor time of this thread, which runs the gateway and all its peers. The wall clock would
// include the time of other programs on the machine.
double cpu_us() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return double(time.tv_sec) * 1e6 + double(time.tv_nsec) * 1e-3;
}

// Sends requests on one connection, each one as soon as the one before it is answered.
class ClosedLoopClient {
 public:
  explicit ClosedLoopClient(GatewayTestBed& test_bed) : client_(test_bed.client()) { send_next(); }

  int answered() const { return answered_; }
  void close() { client_.socket.close(); }

 private:
  void send_next() {
    client_.send(get_request(prefixed_number("t", answered_)));
    response_ = {};
    http::async_read(client_.socket, buffer_, response_, [this](error_code error, std::size_t) {
      EXPECT_FALSE(error);
      EXPECT_EQ(response_.result_int(), 200U);
      ++answered_;
      if (!error) {
        send_next();
      }
    });
  }

  Client client_;
  boost::beast::flat_buffer buffer_;
  http::response<http::string_body> response_;
  int answered_ = 0;
};

// Applied in one turn of the event loop, 24,000 changes among 60,000 servers took more than 100 ms.
TEST_F(GatewayServerCost, AppliesTheChangesOfAZoneInShortSlices) {
  const int count = 60'000;
  const int zone_size = 24'000;
  for (int i = 0; i < count; ++i) {
    test_bed.add_persisted_endpoint(servers.listed_endpoint(prefixed_number("n", i), i));
  }
  test_bed.config.settings.gateway_count = 7'400;
  test_bed.start();
  ASSERT_TRUE(test_bed.run_until([&] {
    return test_bed.server->is_ready() && test_bed.discovery.request_targets.size() == 1;
  }));
  std::string entries;
  for (int i = 0; i < zone_size; ++i) {
    entries += (i > 0 ? "," : "") + servers.entry_json(prefixed_number("n", i), i, "draining");
  }
  const std::string text = FakeDiscovery::chunk(list_json(42, false, entries));
  asio::async_write(test_bed.discovery.peers.back()->socket, asio::buffer(text),
                    [](error_code, std::size_t) {});
  ClosedLoopClient client(test_bed);
  double longest_turn = 0;
  double total = 0;
  ASSERT_TRUE(test_bed.run_until([&, last = cpu_us()]() mutable {
    const double now = cpu_us();
    longest_turn = std::max(longest_turn, now - last);
    total += now - std::exchange(last, now);
    return metric("targets_disabled") == std::uint64_t(zone_size);
  }));
  std::cerr << "applied after " << total / 1000 << " ms, longest turn " << longest_turn / 1000
            << " ms, " << client.answered() << " requests answered during that time\n";
  EXPECT_GE(client.answered(), 10);
  EXPECT_LT(longest_turn, kSlowdown * 4'000);
  EXPECT_LT(total, kSlowdown * 250'000);
  client.close();
}

// Processor time for one change among `count` endpoints, from discovery's line to the decision
// module: the minimum of 19 means of 10 changes each.
double cost_of_one_change_us(const ManyEndpoints& servers, int count) {
  GatewayTestBed test_bed;
  for (int i = 0; i < count; ++i) {
    test_bed.add_persisted_endpoint(servers.listed_endpoint(prefixed_number("n", i), i));
  }
  test_bed.start();
  const bool is_ready = test_bed.run_until(
      [&] { return test_bed.server->is_ready() && !test_bed.discovery.request_targets.empty(); });
  EXPECT_TRUE(is_ready) << test_bed.server->is_ready()
                        << " = is_ready(), number of watch requests: "
                        << test_bed.discovery.request_targets.size();
  double minimum = 1e9;
  int draining = 0;
  for (int run = 0; is_ready && run < 19; ++run) {
    const double started_at = cpu_us();
    for (int change = 0; change < 10; ++change) {
      const std::string entry =
          servers.entry_json(prefixed_number("n", draining), draining, "draining");
      ++draining;
      test_bed.discovery.send_chunk(list_json(42 + draining, false, entry));
      const std::string line = prefixed_number("app.targets_disabled=", draining) + "\n";
      const auto has_line = [&] {
        return test_bed.server->render_stats().find(line) != std::string::npos;
      };
      if (!test_bed.run_until(has_line)) {
        ADD_FAILURE() << "change " << draining << " was not applied";
        return minimum;
      }
    }
    minimum = std::min(minimum, (cpu_us() - started_at) / 10);
  }
  return minimum;
}

// When each change caused work for every listed server, one change took 13 ms at 20,000 servers.
TEST_F(GatewayServerCost, OneChangeDoesNotCostMoreAmongManyEndpoints) {
  const double among_few = cost_of_one_change_us(servers, 200);
  const double among_many = cost_of_one_change_us(servers, 170'000);
  std::cerr << "one change: " << among_few << " us at 200, " << among_many << " us at 170,000\n";
  EXPECT_LT(among_many, 4 * among_few);
  EXPECT_LT(among_many, kSlowdown * 1'000);
}

}  // namespace
}  // namespace quota_gateway::net::testing
