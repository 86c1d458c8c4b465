// Gateway processes with audited clients and servers, lists that change, signals and faults: what
// the soaks of lost requests share.
#pragma once

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/audited_traffic.hpp"
#include "support/fake_counter.hpp"
#include "support/fake_discovery.hpp"
#include "support/gateway_process.hpp"
#include "support/listed_endpoints.hpp"

namespace quota_gateway::net::testing {

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
  ProcessFaults faults;
  bool breaks_connections = false;
  bool clients_leave = true;
  milliseconds max_pause{20};  // of the clients
  // A third of the servers send a part of their responses a second time, after this time at most.
  double second_response_rate = 0;
  milliseconds max_second_delay{0};
  std::size_t server_max_connections = 0;  // that each server holds; 0: no limit
};

std::string describe(const SoakPlan& plan);

class SoakFixture : public ::testing::Test {
 protected:
  SoakFixture(SoakPlan drawn_plan, int drawn_seed);

  struct Gateway {
    GatewayState state;
    std::optional<Process> process;
  };

  void SetUp() override;
  void run_for(milliseconds duration);
  // Starts clients and lets them run for a while, with signals in the middle. Then stops them and
  // checks that no request was lost and every process runs.
  void run_and_check(milliseconds duration, const std::string& title);
  void run_until_started();
  void add_clients();
  void add_silent_clients();
  void stop_clients();
  void send_signals(Gateway& gateway, Signals signals);

  const SoakPlan plan;
  const int seed;
  asio::io_context io;
  RequestAudit audit{io};
  FakeDiscovery discovery{io};
  FakeCounter counter{io};
  std::list<AuditedServer> servers;
  std::list<Gateway> gateways;
  std::vector<std::shared_ptr<AuditedClient>> clients;
  std::string logs;  // of all gateways

 private:
  std::string entries() const;
  void publish_list();
  void start(Gateway& gateway);
  void read_logs();
  // Clients go on using open connections until SIGKILL, which comes as early as it may.
  void terminate(Gateway& gateway);
  void kill(Gateway& gateway);

  std::list<tcp::socket> silent_clients;
  std::chrono::steady_clock::time_point next_list{};
  int revision = 100;
  int draining_server = -1;
};

}  // namespace quota_gateway::net::testing
