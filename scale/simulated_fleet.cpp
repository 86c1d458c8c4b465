#include "simulated_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "clocks.hpp"
#include "layout.hpp"
#include "process_resources.hpp"
#include "simulated_gateway.hpp"

namespace quota_gateway::scale {
namespace {

constexpr std::chrono::milliseconds kPollInterval(20);

}  // namespace

SimulatedGatewayGroup::SimulatedGatewayGroup(boost::asio::io_context& io,
                                             const FleetOptions& options, std::size_t first_gateway,
                                             std::size_t gateways) {
  for (std::size_t i = 0; i < gateways; ++i) {
    gateways_.push_back(std::make_unique<SimulatedGateway>(io, options, first_gateway + i));
  }
}

SimulatedGatewayGroup::~SimulatedGatewayGroup() = default;

void SimulatedGatewayGroup::add_to(FleetState& state) const {
  for (const auto& gateway : gateways_) {
    state.add(gateway->state());
  }
}

void SimulatedGatewayGroup::set_request_rate(double requests_per_s) {
  for (const auto& gateway : gateways_) {
    gateway->set_request_rate(requests_per_s);
  }
}

void SimulatedGatewayGroup::expect(const std::shared_ptr<const UpServers>& expected) {
  for (const auto& gateway : gateways_) {
    gateway->expect(expected);
  }
}

void SimulatedGatewayGroup::add_delays(std::int64_t revision, Micros since,
                                       std::vector<double>& delays) const {
  for (const auto& gateway : gateways_) {
    const ListProgress& progress = gateway->list_progress();
    if (progress.revision() >= revision) {
      delays.push_back(double(progress.applied_at() - since));
    }
  }
}

SimulatedFleet::SimulatedFleet(FleetOptions options) : options_(std::move(options)) {
  const std::size_t allowed = raise_descriptor_limit();
  const std::size_t needed = descriptors_needed(options_);
  if (needed > allowed) {
    throw std::runtime_error(std::to_string(options_.gateways) + " gateways need " +
                             std::to_string(needed) + " file descriptors, but only " +
                             std::to_string(allowed) + " are allowed for this process");
  }
  const std::size_t groups = std::clamp<std::size_t>(options_.groups, 1, options_.gateways);
  groups_.resize(groups);
  for (std::size_t i = 0; i < groups; ++i) {
    const std::size_t end = options_.gateways * (i + 1) / groups;
    groups_[i].first_gateway = options_.gateways * i / groups;
    groups_[i].size = end - groups_[i].first_gateway;
    start(groups_[i]);
  }
}

void SimulatedFleet::start(Group& group) {
  group.thread = std::make_unique<EventLoopThread>();
  group.gateways =
      &group.thread->emplace<SimulatedGatewayGroup>(options_, group.first_gateway, group.size);
  if (expected_) {
    group.thread->run([&] { group.gateways->expect(expected_); });
  }
}

// Ends the event loop with everything on it, as the end of a process does. The clients cannot be
// destroyed one by one, because pending handlers refer to them.
void SimulatedFleet::restart(std::size_t group) {
  Group& restarted = groups_.at(group);
  restarted.thread->run([&] { restarted.gateways->add_to(ended_); });
  ended_.end_gateways();
  ended_.cpu_time += restarted.thread->cpu_time();
  restarted.thread.reset();
  start(restarted);
}

void SimulatedFleet::set_request_rate(double requests_per_s) {
  options_.requests_per_s = requests_per_s;
  for (const Group& group : groups_) {
    group.thread->run([&] { group.gateways->set_request_rate(requests_per_s); });
  }
}

void SimulatedFleet::expect(const std::vector<ListedServer>& servers) {
  auto expected = std::make_shared<UpServers>(std::max(options_.servers, servers.size()));
  for (const ListedServer& server : servers) {
    const std::size_t number = server_number(server.id);
    if (number >= expected->size()) {
      expected->resize(number + 1);
    }
    (*expected)[number] = server.phase == Phase::kUp;
  }
  expected_ = std::move(expected);
  for (const Group& group : groups_) {
    group.thread->run([&] { group.gateways->expect(expected_); });
  }
}

FleetState SimulatedFleet::state() const {
  FleetState state = ended_;
  for (const Group& group : groups_) {
    group.thread->run([&] { group.gateways->add_to(state); });
    state.cpu_time += group.thread->cpu_time();
  }
  return state;
}

FleetState SimulatedFleet::state_of(std::size_t group) const {
  FleetState state;
  const Group& selected = groups_.at(group);
  selected.thread->run([&] { selected.gateways->add_to(state); });
  return state;
}

bool SimulatedFleet::wait_until(const std::function<bool(const FleetState&)>& condition,
                                Micros timeout) const {
  const Micros deadline = steady_now() + timeout;
  while (!condition(state())) {
    if (steady_now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::vector<double> SimulatedFleet::delays(std::int64_t revision, Micros since) const {
  std::vector<double> delays;
  for (const Group& group : groups_) {
    group.thread->run([&] { group.gateways->add_delays(revision, since, delays); });
  }
  return delays;
}

}  // namespace quota_gateway::scale
