// Several gateway processes whose system calls fail in the ways that Linux documents, with faulty
// servers, lists that change, and a series of signals, all drawn by a seed. No request may be lost.
//
// QUOTA_GATEWAY_SOAK_SEEDS=FIRST-LAST replaces the seeds, for long runs.
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "support/audited_traffic.hpp"
#include "support/fake_counter.hpp"
#include "support/fake_discovery.hpp"
#include "support/gateway_process.hpp"
#include "support/listed_endpoints.hpp"
#include "support/resource_usage.hpp"
#include "support/soak_seeds.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr int kServers = 9;
constexpr milliseconds kStartTime{400};
constexpr milliseconds kRunTime{5'000};
constexpr milliseconds kListInterval{500};
// For this time after SIGTERM new connections go on coming.
constexpr milliseconds kTimeOfNewConnections{300};
// SIGKILL comes this long after the longest deadline after SIGTERM.
constexpr milliseconds kKillDelay{700};
constexpr milliseconds kMaxCountedDeadline{3'000};

enum class Signals { kNone, kTerminations, kReloads, kKills, kAll };

struct SoakPlan {
  int gateways = 2;
  int clients = 48;
  int silent_clients = 0;  // per gateway
  int memory_megabytes = 192;
  milliseconds deadline{2'000};
  double server_faults = 0;
  bool lists_change = false;
  bool sends_several = false;
  Signals signals = Signals::kNone;
  std::string system_call_faults;
  bool breaks_connections = false;
  bool clients_leave = true;
  milliseconds max_pause{20};  // of the clients
  // A third of the servers send a part of their responses a second time, after this time at most.
  double second_response_rate = 0;
  milliseconds max_second_delay{0};
};

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
  plan.system_call_faults = draw_faults(random, plan);
  return plan;
}

std::string describe(const SoakPlan& plan) {
  return std::to_string(plan.gateways) + " gateways, " + std::to_string(plan.clients) +
         " clients, " + std::to_string(plan.silent_clients) + " silent, " +
         std::to_string(plan.memory_megabytes) + " MB, deadline " +
         std::to_string(plan.deadline.count()) + " ms, server faults " +
         std::to_string(plan.server_faults) + ", lists change " +
         std::to_string(int(plan.lists_change)) + ", several at once " +
         std::to_string(int(plan.sends_several)) + ", signals " +
         std::to_string(int(plan.signals)) + ", " + plan.system_call_faults;
}

std::string replaced(std::string text, const std::string& found, const std::string& replacement) {
  for (std::size_t at = text.find(found); at != std::string::npos;
       at = text.find(found, at + replacement.size())) {
    text.replace(at, found.size(), replacement);
  }
  return text;
}

// Gateway processes with audited clients and servers.
class SoakFixture : public ::testing::Test {
 protected:
  SoakFixture(SoakPlan drawn_plan, int drawn_seed)
      : plan(std::move(drawn_plan)), seed(drawn_seed) {}

  struct Gateway {
    GatewayState state;
    std::optional<Process> process;
  };

  void SetUp() override {
    for (int i = 0; i < kServers; ++i) {
      ServerBehavior behavior{.number = i, .fault_rate = plan.server_faults};
      if (i % 3 == 0) {
        behavior.second_response_rate = plan.second_response_rate;
        behavior.max_second_delay = plan.max_second_delay;
      }
      servers.emplace_back(io, audit, behavior, unsigned(seed * kServers + i));
    }
    publish_list();
    for (int i = 0; i < plan.gateways; ++i) {
      Gateway& gateway = gateways.emplace_back();
      gateway.state.number = i;
      gateway.state.port = free_port(io);
      gateway.state.breaks_responses = plan.breaks_connections;
      start(gateway);
    }
  }

  std::string entries() const {
    std::string text;
    int number = 0;
    for (const AuditedServer& server : servers) {
      const std::string phase = number == draining_server ? "draining" : "up";
      text += (number > 0 ? "," : "") +
              entry_json(prefixed_number("s", number), server.listener().host_port(), phase);
      ++number;
    }
    return text;
  }

  void publish_list() {
    discovery.initial_body = list_json(++revision, true, entries()) + "\n";
    for (const auto& peer : discovery.peers) {
      if (!peer->closed) {
        peer->write(FakeDiscovery::chunk(discovery.initial_body));
      }
    }
  }

  void start(Gateway& gateway) {
    const std::string deadline = std::to_string(plan.deadline.count() * 1'000);
    std::string config = with_post_class(
        with_memory_limit(config_json(gateway.state.port, servers.front().listener(), discovery,
                                      R"("counter":")" + counter.host_port() + R"(",)", entries()),
                          std::size_t(plan.memory_megabytes)));
    config = replaced(config, "\"GiveUpUs\":4000000", "\"GiveUpUs\":" + deadline);
    config = replaced(config, "\"ObjectiveUs\":3000000", "\"ObjectiveUs\":" + deadline);
    config =
        replaced(config, "\"QuotaRate\":900,\"Depth\":900", "\"QuotaRate\":90000,\"Depth\":90000");
    config = replaced(config, R"("Az":"a",)", R"("Az":"a","Extra":{"SharedCounter":true},)");
    gateway.process.emplace(config, "", 0, plan.system_call_faults);
    gateway.state.is_accepting = true;
    gateway.state.is_draining = false;
  }

  void run_for(milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_for(milliseconds(20));
      if (plan.lists_change && std::chrono::steady_clock::now() > next_list) {
        next_list = std::chrono::steady_clock::now() + kListInterval;
        draining_server = (draining_server + 1) % kServers;
        publish_list();
      }
    }
  }

  void add_clients() {
    for (int i = 0; i < plan.clients; ++i) {
      Gateway& gateway = *std::next(gateways.begin(), i % plan.gateways);
      const AuditedClient::Behavior behavior{.sends_several = plan.sends_several && i % 4 == 0,
                                             .leaves = plan.clients_leave && i % 5 == 0,
                                             .max_timeout = plan.deadline,
                                             .max_pause = plan.max_pause};
      clients.push_back(std::make_shared<AuditedClient>(io, audit, gateway.state, behavior,
                                                        unsigned(seed * 1'000 + i)));
      clients.back()->start();
    }
  }

  void add_silent_clients() {
    for (Gateway& gateway : gateways) {
      for (int i = 0; i < plan.silent_clients; ++i) {
        silent_clients.emplace_back(io);
        silent_clients.back().async_connect({asio::ip::address_v4::loopback(), gateway.state.port},
                                            [](error_code) {});
      }
    }
  }

  void send_signals(Gateway& gateway, Signals signals) {
    switch (signals) {
      case Signals::kNone:
        return;
      case Signals::kTerminations:
        return terminate(gateway);
      case Signals::kReloads:
        gateway.process->request_reload();
        return run_for(milliseconds(300));
      case Signals::kKills:
        return kill(gateway);
      case Signals::kAll:
        gateway.process->request_reload();
        run_for(milliseconds(100));
        terminate(gateway);
        return kill(gateway);
    }
  }

  // Clients go on using open connections until SIGKILL, which comes as early as it may.
  void terminate(Gateway& gateway) {
    gateway.process->terminate();
    gateway.state.is_draining = true;
    run_for(kTimeOfNewConnections);
    gateway.state.is_accepting = false;
    run_for(std::min(plan.deadline, kMaxCountedDeadline) + kKillDelay - kTimeOfNewConnections);
    if (!gateway.process->is_running()) {
      EXPECT_EQ(gateway.process->wait_for_exit(), 0);
    }
    gateway.process.reset();  // SIGKILL, unless it has ended; what is unanswered then is lost
    start(gateway);
    run_for(kStartTime);
  }

  void kill(Gateway& gateway) {
    ++gateway.state.kills;
    gateway.process.reset();
    start(gateway);
    run_for(kStartTime);
  }

  const SoakPlan plan;
  const int seed;
  asio::io_context io;
  RequestAudit audit{io};
  FakeDiscovery discovery{io};
  FakeCounter counter{io};
  std::list<AuditedServer> servers;
  std::list<Gateway> gateways;
  std::vector<std::shared_ptr<AuditedClient>> clients;
  std::list<tcp::socket> silent_clients;
  std::chrono::steady_clock::time_point next_list{};
  int revision = 100;
  int draining_server = -1;
};

class LostRequestSoak : public SoakFixture, public ::testing::WithParamInterface<int> {
 protected:
  LostRequestSoak() : SoakFixture(draw_plan(GetParam()), GetParam()) {}
};

TEST_P(LostRequestSoak, NoRequestIsLost) {
  SCOPED_TRACE(describe(plan));
  run_for(kStartTime);
  add_silent_clients();
  add_clients();
  run_for(kRunTime / 2);
  for (Gateway& gateway : gateways) {
    send_signals(gateway, plan.signals);
  }
  run_for(kRunTime / 2);
  for (const auto& client : clients) {
    client->stop();
  }
  run_for(plan.deadline + milliseconds(600));
  for (Gateway& gateway : gateways) {
    EXPECT_TRUE(gateway.process->is_running());
  }
  std::cout << "seed " << GetParam() << ": " << describe(plan) << ": answered " << audit.answered()
            << ", served " << audit.served() << ", lost " << audit.lost() << ", lag "
            << audit.lag().count() << " ms\n";
  EXPECT_EQ(audit.lost(), 0) << audit.failures();
  EXPECT_GT(audit.served(), 0);
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
    run_for(kStartTime);
    add_clients();
    run_for(kRunTime);
    for (const auto& client : clients) {
      client->stop();
    }
    run_for(plan.deadline + milliseconds(600));
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

INSTANTIATE_TEST_SUITE_P(Milliseconds, BriefSecondResponseSoak, ::testing::Values(9));
INSTANTIATE_TEST_SUITE_P(Milliseconds, SecondResponseSoak, ::testing::Values(20, 200));

INSTANTIATE_TEST_SUITE_P(Seeds, LostRequestSoak,
                         ::testing::Range(soak_seeds().first, soak_seeds().last + 1));

}  // namespace
}  // namespace quota_gateway::net::testing
