// Gateway processes that get no memory for a moment. Every request must get its response, if only
// 503, and the work of the others goes on.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>

#include "support/fake_server.hpp"
#include "support/gateway_soak.hpp"
#include "support/http_client.hpp"
#include "support/http_messages.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr milliseconds kRunTime{5'000};

struct AllocationFaultCase {
  const char* name;
  const char* faults;  // see tests/support/allocation_faults
};

// The name of the test in CTest ends with this.
void PrintTo(const AllocationFaultCase& drawn, std::ostream* out) {
  *out << drawn.name;
}

class AllocationFaults : public SoakFixture,
                         public ::testing::WithParamInterface<AllocationFaultCase> {
 protected:
  AllocationFaults() : SoakFixture(plan_for(GetParam()), 1) {}

  static SoakPlan plan_for(const AllocationFaultCase& drawn) {
    SoakPlan plan;
    plan.gateways = 3;
    plan.clients = 60;
    plan.clients_leave = false;
    plan.faults.allocations = drawn.faults;
    return plan;
  }

  void SetUp() override {
#ifdef __SANITIZE_ADDRESS__
    GTEST_SKIP() << "the sanitizer has its own allocator";
#else
    SoakFixture::SetUp();
#endif
  }
};

// Guards against work that only the handler that failed knew of.
TEST_P(AllocationFaults, NoRequestIsLost) {
  run_and_check(kRunTime, GetParam().name);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AllocationFaults,
    ::testing::Values(AllocationFaultCase{"100InAMillion", "0.0001 0 1000 1 0"},
                      AllocationFaultCase{"1000InAMillion", "0.001 0 1000 1 0"},
                      AllocationFaultCase{"OneInFifty", "0.02 0 1000 1 0"},
                      AllocationFaultCase{"AllFor100ms", "0 100 1000 1 0"},
                      AllocationFaultCase{"AllFor600ms", "0 600 1000 1 0"},
                      AllocationFaultCase{"OneInTenWithoutReserve", "0.1 0 1000 1 1"},
                      AllocationFaultCase{"AllFor20msWithoutReserve", "0 20 1000 1 1"}));

// Guards against a SIGTERM at a moment without memory whose shutdown never begins: the kill then
// ends open requests.
TEST(AllocationFaultAtShutdown, AProcessTerminatedWithoutMemoryEndsBeforeItsKill) {
#ifdef __SANITIZE_ADDRESS__
  GTEST_SKIP() << "the sanitizer has its own allocator";
#endif
  constexpr milliseconds kFirstOutage{1'500};
  constexpr milliseconds kIntoOutage{100};
  constexpr milliseconds kTimeToKill{3'700};
  asio::io_context io;
  FakeDiscovery discovery(io);
  FakeServer server(io);
  const std::uint16_t port = free_port(io);
  const auto started_at = std::chrono::steady_clock::now();
  Process process(config_json(port, server, discovery), "", 0, {.allocations = "0 300 1500 1 1"});
  ASSERT_NE(process.read_log_until("ready"), "");
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("t"));
  ASSERT_TRUE(client.receive());
  const auto terminate_at = started_at + kFirstOutage + kIntoOutage;
  io.restart();
  io.run_until(terminate_at);
  process.terminate();
  while (process.is_running() && std::chrono::steady_clock::now() < terminate_at + kTimeToKill) {
    io.restart();
    io.run_for(milliseconds(20));
  }
  EXPECT_FALSE(process.is_running());
}

}  // namespace
}  // namespace quota_gateway::net::testing
