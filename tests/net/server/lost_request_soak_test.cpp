// Several gateway processes whose system calls fail in the ways that Linux documents, with faulty
// servers, lists that change, and a series of signals, all drawn by a seed. No request may be lost.
//
// QUOTA_GATEWAY_SOAK_SEEDS=FIRST-LAST replaces the seeds, for long runs.
#include <gtest/gtest.h>

#include <cstddef>
#include <initializer_list>
#include <iostream>
#include <random>
#include <string>

#include "support/gateway_soak.hpp"
#include "support/resource_usage.hpp"
#include "support/soak_seeds.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr milliseconds kRunTime{5'000};

template <typename Value>
Value draw_one(std::mt19937& random, std::initializer_list<Value> values) {
  return values.begin()[random() % values.size()];
}

std::string draw_faults(std::mt19937& random, SoakPlan& plan) {
  std::string text = "seed=" + std::to_string(random() % 1'000);
  for (const char* fault :
       {"short_send", "short_receive", "interrupted", "no_memory", "setup", "query"}) {
    const auto rate = draw_one<const char*>(random, {"0", "0.002", "0.02", "0.1"});
    text += std::string(" ") + fault + "=" + rate;
  }
  plan.breaks_connections = random() % 4 == 0;
  return text + (plan.breaks_connections ? " broken=0.01" : "");
}

// Of a generator of its own, so that the other draws of a seed stay as they were.
std::string draw_allocation_faults(int seed) {
#ifdef __SANITIZE_ADDRESS__
  return "";
#else
  std::mt19937 random{unsigned(seed) + 1'000'000};
  constexpr const char* kAfterStart = " 600 ";
  const std::string rate = draw_one<const char*>(random, {"0", "0.0001", "0.001", "0.02"});
  const std::string outage_ms = draw_one<const char*>(random, {" 0", " 0", " 30", " 150"});
  return rate + outage_ms + kAfterStart + std::to_string(seed) + " 0";
#endif
}

SoakPlan draw_plan(int seed) {
  std::mt19937 random{unsigned(seed)};
  SoakPlan plan;
  plan.gateways = draw_one(random, {2, 3, 5});
  plan.clients = draw_one(random, {48, 100, 200}) / kSanitizerLoadDivisor;
  plan.silent_clients = draw_one(random, {0, 0, 100}) / kSanitizerLoadDivisor;
  plan.memory_megabytes = draw_one(random, {32, 192});
  plan.deadline = draw_one(random, {milliseconds(600), milliseconds(2'000), milliseconds(4'000)});
  plan.server_faults = draw_one(random, {0.0, 0.05, 0.3});
  plan.lists_change = random() % 2 == 0;
  plan.sends_several = random() % 2 == 0;
  plan.signals = Signals(random() % 5);
  plan.faults.system_calls = draw_faults(random, plan);
  plan.faults.allocations = draw_allocation_faults(seed);
  return plan;
}

class LostRequestSoak : public SoakFixture, public ::testing::WithParamInterface<int> {
 protected:
  LostRequestSoak() : SoakFixture(draw_plan(GetParam()), GetParam()) {}
};

TEST_P(LostRequestSoak, NoRequestIsLost) {
  run_and_check(kRunTime, "seed " + std::to_string(GetParam()));
}

// Servers that send responses a second time, up to a time that the parameter states.
class SecondResponseSoak : public SoakFixture, public ::testing::WithParamInterface<int> {
 protected:
  SecondResponseSoak() : SoakFixture(plan_for(milliseconds(GetParam())), soak_seeds().first) {}

  static SoakPlan plan_for(milliseconds max_delay) {
    SoakPlan plan;
    plan.clients = 80 / kSanitizerLoadDivisor;
    plan.clients_leave = false;
    plan.max_pause = milliseconds(200);
    plan.second_response_rate = 0.3;
    plan.max_second_delay = max_delay;
    return plan;
  }

  void run() {
    run_until_started();
    add_clients();
    run_for(kRunTime);
    stop_clients();
    std::cout << "second responses within " << GetParam() << " ms: served " << audit.served()
              << ", lost " << audit.lost() << ", foreign from one server through one gateway "
              << audit.most_foreign_responses() << "; sound servers: " << traffic_of(true)
              << "; others: " << traffic_of(false) << '\n';
  }

  // The connections and attempts of the servers that are sound, or of the others.
  std::string traffic_of(bool is_sound) const {
    std::size_t connections = 0;
    std::size_t attempts = 0;
    for (const AuditedServer& server : servers) {
      connections += server.is_sound() == is_sound ? server.connections() : 0;
      attempts += server.is_sound() == is_sound ? server.requests() : 0;
    }
    return std::to_string(connections) + " connections, " + std::to_string(attempts) + " attempts";
  }
};

class BriefSecondResponseSoak : public SecondResponseSoak {};

// Guards against responses that reach another request because they come some milliseconds late.
TEST_P(BriefSecondResponseSoak, NoRequestGetsTheResponseToAnother) {
  run();
  EXPECT_EQ(audit.lost(), 0) << audit.failures();
}

// Guards against a server whose late responses reach other requests again and again, and against
// connections that stay one response behind.
TEST_P(SecondResponseSoak, AServerGivesOneResponseToAnotherRequestAtMost) {
  run();
  EXPECT_LE(audit.most_foreign_responses(), 1) << audit.failures();
}

// Servers that hold a number of connections each, which the parameter states.
class FewConnectionsSoak : public SoakFixture, public ::testing::WithParamInterface<int> {
 protected:
  FewConnectionsSoak() : SoakFixture(plan_for(GetParam()), soak_seeds().first) {}

 public:
  static SoakPlan plan_for(int connections) {
    SoakPlan plan;
    plan.gateways = 3;
    plan.clients = 120 / kSanitizerLoadDivisor;
    plan.clients_leave = false;
    plan.max_pause = milliseconds(200);
    plan.server_max_connections = std::size_t(connections);
    return plan;
  }
};

// Guards against connections that rest while their server rejects new ones.
TEST_P(FewConnectionsSoak, MostRequestsAreServed) {
  run_and_check(kRunTime, "servers hold " + std::to_string(GetParam()));
  std::size_t rejected = 0;
  for (const AuditedServer& server : servers) {
    rejected += server.rejected_connections();
  }
  std::cout << "rejected by servers " << rejected << '\n';
  EXPECT_GT(audit.served(), audit.answered() * 8 / 10);
}

// The same, with servers that send responses a second time, within 40 ms.
class FewConnectionsSecondResponseSoak : public SoakFixture,
                                         public ::testing::WithParamInterface<int> {
 protected:
  FewConnectionsSecondResponseSoak() : SoakFixture(plan_for(GetParam()), soak_seeds().first) {}

  static SoakPlan plan_for(int connections) {
    SoakPlan plan = FewConnectionsSoak::plan_for(connections);
    plan.second_response_rate = 0.3;
    plan.max_second_delay = milliseconds(40);
    return plan;
  }
};

// Guards against the early reuse of connections on which a second response is still to come.
TEST_P(FewConnectionsSecondResponseSoak, NoRequestGetsTheResponseToAnother) {
  run_and_check(kRunTime, "servers hold " + std::to_string(GetParam()) + " and respond twice");
}

INSTANTIATE_TEST_SUITE_P(Connections, FewConnectionsSoak, ::testing::Values(6));
INSTANTIATE_TEST_SUITE_P(Connections, FewConnectionsSecondResponseSoak, ::testing::Values(6));

INSTANTIATE_TEST_SUITE_P(Milliseconds, BriefSecondResponseSoak, ::testing::Values(9));
INSTANTIATE_TEST_SUITE_P(Milliseconds, SecondResponseSoak, ::testing::Values(20, 200));

INSTANTIATE_TEST_SUITE_P(Seeds, LostRequestSoak,
                         ::testing::Range(soak_seeds().first, soak_seeds().last + 1));

}  // namespace
}  // namespace quota_gateway::net::testing
