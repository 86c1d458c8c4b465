// Gateway processes that get no memory for a moment. Every request must get its response, if only
// 503, and the work of the others goes on.
#include <gtest/gtest.h>

#include <ostream>
#include <string>

#include "support/gateway_soak.hpp"

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

}  // namespace
}  // namespace quota_gateway::net::testing
