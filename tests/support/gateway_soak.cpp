#include "support/gateway_soak.hpp"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <sstream>
#include <utility>

#include "support/resource_usage.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr int kServers = 9;
constexpr milliseconds kStartTime{400};
constexpr milliseconds kListInterval{500};
// For this time after SIGTERM new connections go on coming.
constexpr milliseconds kTimeOfNewConnections{300};
// SIGKILL comes this long after the longest deadline after SIGTERM.
constexpr milliseconds kKillDelay{700};
constexpr milliseconds kMaxCountedDeadline{3'000};

std::string replaced(std::string text, const std::string& found, const std::string& replacement) {
  for (std::size_t at = text.find(found); at != std::string::npos;
       at = text.find(found, at + replacement.size())) {
    text.replace(at, found.size(), replacement);
  }
  return text;
}

// The lines of the log that begin with `prefix`.
std::string lines_of(const std::string& log, const std::string& prefix) {
  std::string found;
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    found += line.starts_with(prefix) ? line + "\n" : "";
  }
  return found;
}

}  // namespace

std::string describe(const SoakPlan& plan) {
  return std::to_string(plan.gateways) + " gateways, " + std::to_string(plan.clients) +
         " clients, " + std::to_string(plan.silent_clients) + " silent, " +
         std::to_string(plan.memory_megabytes) + " MB, deadline " +
         std::to_string(plan.deadline.count()) + " ms, server faults " +
         std::to_string(plan.server_faults) + ", lists change " +
         std::to_string(int(plan.lists_change)) + ", several at once " +
         std::to_string(int(plan.sends_several)) + ", signals " +
         std::to_string(int(plan.signals)) + ", " + plan.faults.system_calls +
         ", allocation faults " + plan.faults.allocations;
}

SoakFixture::SoakFixture(SoakPlan drawn_plan, int drawn_seed)
    : plan(std::move(drawn_plan)), seed(drawn_seed) {}

void SoakFixture::SetUp() {
  for (int i = 0; i < kServers; ++i) {
    ServerBehavior behavior{.number = i,
                            .fault_rate = plan.server_faults,
                            .max_connections = plan.server_max_connections};
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

std::string SoakFixture::entries() const {
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

void SoakFixture::publish_list() {
  discovery.initial_body = list_json(++revision, true, entries()) + "\n";
  for (const auto& peer : discovery.peers) {
    if (!peer->closed) {
      peer->write(FakeDiscovery::chunk(discovery.initial_body));
    }
  }
}

void SoakFixture::start(Gateway& gateway) {
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
  gateway.process.emplace(config, "", 0, plan.faults);
  gateway.state.is_accepting = true;
  gateway.state.is_draining = false;
}

void SoakFixture::run_for(milliseconds duration) {
  const auto end = std::chrono::steady_clock::now() + duration;
  while (std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(milliseconds(20));
    read_logs();
    if (plan.lists_change && std::chrono::steady_clock::now() > next_list) {
      next_list = std::chrono::steady_clock::now() + kListInterval;
      draining_server = (draining_server + 1) % kServers;
      publish_list();
    }
  }
}

void SoakFixture::add_clients() {
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

void SoakFixture::add_silent_clients() {
  for (Gateway& gateway : gateways) {
    for (int i = 0; i < plan.silent_clients; ++i) {
      silent_clients.emplace_back(io);
      silent_clients.back().async_connect({asio::ip::address_v4::loopback(), gateway.state.port},
                                          [](error_code) {});
    }
  }
}

void SoakFixture::send_signals(Gateway& gateway, Signals signals) {
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

void SoakFixture::terminate(Gateway& gateway) {
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

void SoakFixture::kill(Gateway& gateway) {
  ++gateway.state.kills;
  gateway.process.reset();
  start(gateway);
  run_for(kStartTime);
}

void SoakFixture::read_logs() {
  for (Gateway& gateway : gateways) {
    if (gateway.process) {
      logs += gateway.process->read_available_log();
    }
  }
}

void SoakFixture::run_until_started() {
  run_for(kStartTime);
}

void SoakFixture::stop_clients() {
  for (const auto& client : clients) {
    client->stop();
  }
  run_for(plan.deadline + milliseconds(600));
}

void SoakFixture::run_and_check(milliseconds duration, const std::string& title) {
  SCOPED_TRACE(describe(plan));
  run_until_started();
  add_silent_clients();
  add_clients();
  run_for(duration / 2);
  for (Gateway& gateway : gateways) {
    send_signals(gateway, plan.signals);
  }
  run_for(duration / 2);
  stop_clients();
  for (Gateway& gateway : gateways) {
    EXPECT_TRUE(gateway.process->is_running());
  }
  std::cout << title << ": " << describe(plan) << ": answered " << audit.answered() << ", served "
            << audit.served() << ", lost " << audit.lost() << ", lag " << audit.lag().count()
            << " ms\n";
  EXPECT_EQ(lines_of(logs, "guard: "), "");
  EXPECT_EQ(audit.lost(), 0) << audit.failures();
  EXPECT_GT(audit.served(), 0);
}

}  // namespace quota_gateway::net::testing
