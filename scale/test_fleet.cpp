#include "test_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "clocks.hpp"
#include "net/discovery/socket_address.hpp"

namespace quota_gateway::scale {
namespace {

constexpr Micros kMicrosPerMilli = 1'000;

// Returns distinct addresses, so that encoded lists are as long as real ones; nothing listens at
// them.
std::string unused_address(std::size_t server) {
  constexpr std::size_t kValuesPerByte = 250;
  const std::size_t second = 1 + server / (kValuesPerByte * kValuesPerByte);
  const std::size_t third = server / kValuesPerByte % kValuesPerByte;
  const std::size_t fourth = 1 + server % kValuesPerByte;
  return "127." + std::to_string(second) + "." + std::to_string(third) + "." +
         std::to_string(fourth) + ":8081";
}

Phase phase_after(Change change) {
  switch (change) {
    case Change::kUp:
      return Phase::kUp;
    case Change::kDraining:
      return Phase::kDraining;
    default:
      return Phase::kRemoved;
  }
}

bool changes_server(const Disruption& disruption) {
  return disruption.cause != Cause::kRegion && disruption.cause != Cause::kConfiguration;
}

net::ListedEndpoint make_endpoint(const ListedServer& server) {
  net::ListedEndpoint endpoint;
  endpoint.entry.server = server.id;
  endpoint.entry.zone = server.locality;
  endpoint.entry.cell = server.cell;
  endpoint.entry.state = server.phase == Phase::kUp ? EndpointState::kUp : EndpointState::kDraining;
  endpoint.entry.weight = server.size;
  endpoint.entry.started_at = server.up_since_ms * kMicrosPerMilli;
  endpoint.address = net::parse_socket_address(server.host_port);
  return endpoint;
}

}  // namespace

TestFleet::TestFleet(Options options) : options_(std::move(options)) {
  servers_ = list_servers(options_.layout, unused_address);
  options_.discovery.servers = servers_;
  start_agents();
  if (options_.with_counter) {
    start_counter();
  }
  options_.fleet.gateways = options_.layout.gateways;
  options_.fleet.servers = options_.layout.servers;
  if (options_.with_persisted_list) {
    options_.fleet.persisted_list = make_endpoint_list(servers_, options_.discovery.revision);
  }
}

void TestFleet::start_agents() {
  for (std::size_t i = 0; i < std::max<std::size_t>(1, options_.agents); ++i) {
    Agent agent;
    agent.thread = std::make_unique<EventLoopThread>();
    agent.discovery = &agent.thread->emplace<FakeDiscovery>(options_.discovery);
    options_.fleet.agents.push_back(agent.discovery->address());
    agents_.push_back(std::move(agent));
  }
}

void TestFleet::start_counter() {
  counter_thread_ = std::make_unique<EventLoopThread>();
  counter_ = &counter_thread_->emplace<FakeCounter>(options_.counter);
  options_.fleet.counter = counter_->address();
}

void TestFleet::start() {
  fleet_ = std::make_unique<SimulatedFleet>(options_.fleet);
}

std::int64_t TestFleet::publish(const std::vector<ListedServer>& entries) {
  for (const ListedServer& entry : entries) {
    servers_.at(server_number(entry.id)) = entry;
  }
  std::int64_t revision = 0;
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    revision = with_agent(i, [&](FakeDiscovery& agent) { return agent.publish(entries); });
  }
  return revision;
}

std::int64_t TestFleet::publish_and_expect(const std::vector<ListedServer>& entries) {
  for (const ListedServer& entry : entries) {
    servers_.at(server_number(entry.id)) = entry;
  }
  expect();
  return publish(entries);
}

ListedServer TestFleet::listed_server(std::size_t server, Phase phase) const {
  ListedServer listed = servers_.at(server);
  listed.phase = phase;
  if (phase == Phase::kUp) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    listed.up_since_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }
  return listed;
}

std::vector<ListedServer> TestFleet::listed_servers(
    Phase phase, const std::function<bool(std::size_t server)>& predicate) const {
  std::vector<ListedServer> selected;
  for (std::size_t server = 0; server < servers_.size(); ++server) {
    if (predicate(server)) {
      selected.push_back(listed_server(server, phase));
    }
  }
  return selected;
}

std::size_t TestFleet::replay(const std::vector<Disruption>& disruptions, Micros length,
                              std::optional<Micros> step) {
  const auto started_at = std::chrono::steady_clock::now();
  std::size_t changes = 0;
  auto next = disruptions.begin();
  while (next != disruptions.end() && next->at < length) {
    const Micros publish_at = step ? (next->at / *step + 1) * *step : next->at;
    // Disruptions up to this time belong to the same change.
    const Micros last_at = step ? publish_at - 1 : publish_at;
    std::vector<ListedServer> entries;
    for (; next != disruptions.end() && next->at < length && next->at <= last_at; ++next) {
      if (changes_server(*next)) {
        entries.push_back(listed_server(next->subject, phase_after(next->change)));
      }
    }
    if (entries.empty()) {
      continue;
    }
    std::this_thread::sleep_until(started_at + std::chrono::microseconds(publish_at));
    publish(entries);
    changes += entries.size();
  }
  std::this_thread::sleep_until(started_at + std::chrono::microseconds(length));
  return changes;
}

bool TestFleet::wait_until_converged(Micros timeout) {
  expect();
  const std::size_t gateways = options_.layout.gateways;
  return fleet_->wait_until(
      [gateways](const FleetState& state) { return state.converged == gateways; }, timeout);
}

FleetUsage TestFleet::usage() {
  FleetUsage usage;
  usage.at = steady_now();
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    const auto counts = with_agent(i, [](const FakeDiscovery& agent) { return agent.counts(); });
    usage.add_agent(counts, agents_[i].thread->cpu_time());
  }
  if (counter_) {
    usage.counter = counter_thread_->run([this] { return counter_->counts(); });
    usage.counter_cpu = counter_thread_->cpu_time();
  }
  if (fleet_) {
    const FleetState state = fleet_->state();
    usage.gateways_cpu = state.cpu_time;
    usage.module_cpu = state.module_cpu_time;
  }
  return usage;
}

std::shared_ptr<const net::EndpointList> make_endpoint_list(
    const std::vector<ListedServer>& servers, std::int64_t revision) {
  auto list = std::make_shared<net::EndpointList>();
  list->revision = revision;
  list->complete = true;
  for (const ListedServer& server : servers) {
    if (server.phase != Phase::kRemoved) {
      list->endpoints.push_back(make_endpoint(server));
    }
  }
  return list;
}

}  // namespace quota_gateway::scale
