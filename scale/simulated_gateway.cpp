#include "simulated_gateway.hpp"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <limits>
#include <random>
#include <stdexcept>
#include <thread>
#include <unordered_map>

#include "net/counter/counter_client.hpp"
#include "net/discovery/endpoint_table.hpp"
#include "net/discovery/socket_address.hpp"
#include "net/event_loop/timers.hpp"

namespace quota_gateway::scale {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Micros kTellWithin =
    500'000;  // us for the agent to answer; then the list that is known must do
constexpr Micros kPatience = 4'000'000;  // us of a client
constexpr double kSkew = 3;  // assumed: of u^skew x tenants, u even, whose request it is
constexpr std::size_t kSpareDescriptors = 200;
constexpr Micros kSmallBeat =
    200'000;  // us between heartbeats in the small size, for the page's 2 s
constexpr double kGatewayBytes =
    150e3;  // a hollow gateway without servers and tenants, measured, rounded up
constexpr double kServerBytes = 0.55e3;  // of each listed server at a gateway, at 170,000 of them
constexpr double kListBytes = 150;       // of a server on the wire
constexpr double kTenantBytes = 1e3;     // of a tenant at a gateway

constexpr std::array kSums = {&FleetState::requests, &FleetState::attempts,
                              &FleetState::served,   &FleetState::rejected,
                              &FleetState::failed,   &FleetState::calls,
                              &FleetState::lists,    &FleetState::calls_not_added,
                              &FleetState::changes,  &FleetState::calls_unknown};

// Adds `from`, or with -1 takes it off.
void add(Traffic& to, const Traffic& from, int sign) {
  for (const auto member : {&Traffic::sent, &Traffic::received, &Traffic::writes}) {
    to.*member += std::uint64_t(sign) * from.*member;
  }
}
void add(FakeDiscovery::Counts& to, const FakeDiscovery::Counts& from, int sign) {
  using Counts = FakeDiscovery::Counts;
  add(to.traffic, from.traffic, sign);
  for (const auto member : {&Counts::requests, &Counts::full_lists, &Counts::partial_lists,
                            &Counts::updates, &Counts::heartbeats, &Counts::connections,
                            &Counts::rejected, &Counts::slow_watchers_dropped}) {
    to.*member += std::uint64_t(sign) * from.*member;
  }
}

// The number in an id that server_id() made.
std::size_t server_number(const std::string& id) {
  std::size_t number = 0;
  std::from_chars(id.data() + 2, id.data() + id.size(), number, 16);
  return number;
}

}  // namespace

// ---- One gateway
// -------------------------------------------------------------------------------------- Stands
// where net::Driver does: hands events over in batches and carries out the actions.
class SimulatedGateway {
 public:
  SimulatedGateway(asio::io_context& io, const FleetOptions& options, std::size_t position)
      : io_(io),
        options_(options),
        position_(position),
        random_(options.seed * 1'000'003 + position),
        timers_(io, clock_),
        gateway_(settings(options, position), random_()),
        known_(options.known),
        up_(options.servers),
        started_(steady_now()),
        discovery_(io, timers_, clock_,
                   {.agent = options.agents.at(position % options.agents.size()),
                    .revision = known_ ? known_->revision : 0,
                    .seed = random_()},
                   {.on_update =
                        [this](const net::EndpointList& list) {
                          told(list, list.complete ? EndpointListUpdate::Kind::kComplete
                                                   : EndpointListUpdate::Kind::kPartial);
                        },
                    .on_response = [this] { believe_known(); }}) {
    if (options.counter) {
      counter_ = std::make_shared<net::CounterClient>(
          io, timers_, clock_, *options.counter, options.settings.counter_timeout, 250'000,
          [this](CounterReply a) { answered(std::move(a)); });
      counter_->start();
    }
    discovery_.start();
    timers_.after(kTellWithin, [this] { believe_known(); });
    set_request_rate(options.requests_per_s);
  }

  void set_request_rate(double requests_per_s) {
    rate_ = requests_per_s;
    const int life = ++load_;
    if (rate_ > 0) {
      next_arrival(life);
    }
  }

  void expect(std::shared_ptr<const std::vector<bool>> up) {
    expected_ = std::move(up);
    right_at_ = 0;
    look_right();
  }

  void add_to(FleetState& s) const {
    s.with_list += first_list_ > 0 && catalog_.up_count() > 0;
    s.right += right_at_ > 0;
    s.were_without += was_without_;
    s.least_revision = std::min(s.least_revision, revision_);
    s.longest_first_list = std::max(s.longest_first_list, first_list_);
    s.last_right_at = std::max(s.last_right_at, right_at_);
    for (const auto member : kSums) {
      s.*member += sums_.*member;
    }
    s.module_cpu += sums_.module_cpu;
  }
  std::int64_t revision() const { return revision_; }
  Micros in_force_at() const { return in_force_at_; }

 private:
  struct Open {
    int attempts = 0;
    Micros deadline = 0;
  };

  static Settings settings(const FleetOptions& options, std::size_t position) {
    Settings s = options.settings;
    s.gateway_count = int(options.gateways);
    s.gateway_index = int(position);
    s.has_counter = options.counter.has_value();
    return s;
  }

  // ---- the list
  void believe_known() {
    if (!known_) {
      return;
    }
    const auto known = std::exchange(known_, nullptr);
    told(*known, EndpointListUpdate::Kind::kPersisted);
  }

  void told(net::EndpointList list, EndpointListUpdate::Kind kind) {
    told_revision_ = list.revision;
    catalog_.enqueue(std::move(list));
    if (!applying_) {
      apply(kind);
    }
  }

  // Slice by slice, as net::Driver does.
  void apply(EndpointListUpdate::Kind kind) {
    EndpointListUpdate update;
    update.kind = kind;
    update.entries = catalog_.apply().entries;
    for (const EndpointEntry& e : update.entries) {
      const std::size_t number = server_number(e.server);
      if (number >= up_.size()) {
        up_.resize(number + 1);
      }
      up_[number] = e.state == EndpointState::kUp;
    }
    applying_ = !catalog_.is_idle();
    if (!update.entries.empty()) {
      push(std::move(update));
    } else if (!applying_) {
      in_force();  // nothing was new
    }
    if (applying_) {
      asio::post(io_, [this] { apply(EndpointListUpdate::Kind::kPartial); });
    }
  }

  // Once the module has all of it.
  void in_force() {
    if (applying_ || told_revision_ == revision_) {
      return;
    }
    revision_ = told_revision_;
    in_force_at_ = steady_now();
    const std::size_t up = catalog_.up_count();
    if (up > 0 && first_list_ == 0) {
      first_list_ = std::max<Micros>(1, in_force_at_ - started_);
    }
    if (up == 0 && first_list_ > 0) {
      was_without_ = true;
    }
    look_right();
  }

  // ScenarioDeadline it is right once; then what it was held to is let go of, which is costly to
  // look at.
  void look_right() {
    if (!expected_ || revision_ == 0 || up_ != *expected_) {
      return;
    }
    expected_ = nullptr;
    right_at_ = steady_now();
  }

  // ---- requests
  void next_arrival(int life) {
    const double wait = std::exponential_distribution<>(rate_)(random_);
    timers_.after(Micros(wait * 1e6), [this, life] {
      if (life != load_) {
        return;
      }
      if (first_list_ > 0) {
        arrive();  // until then the driver holds them back
      }
      next_arrival(life);
    });
  }

  void arrive() {
    const int spread = std::max(1, std::min(options_.gateways_per_tenant, int(options_.gateways)));
    const std::size_t set = position_ / std::size_t(spread);
    const std::size_t tenants = std::max<std::size_t>(1, options_.tenants_per_gateway);
    const double u = std::uniform_real_distribution<>(0, 1)(random_);
    // Each once at first, so that a gateway has met all of them.
    const std::size_t tenant =
        last_ < tenants ? std::size_t(last_) : std::size_t(std::pow(u, kSkew) * double(tenants));
    char name[20];
    std::snprintf(name, sizeof name, "%016zx", set * tenants + tenant);
    RequestArrived r;
    r.id = std::to_string(++last_);
    r.customer = name;
    r.plan = options_.settings.plans.at(tenant % options_.settings.plans.size()).name;
    r.request_class = options_.settings.classes.at(last_ % options_.settings.classes.size()).name;
    r.deadline = clock_.now() + kPatience;
    r.gateway_subset_size = spread;
    r.gateway_subset_start = int(set * std::size_t(spread));
    open_[r.id].deadline = r.deadline;
    ++sums_.requests;
    push(std::move(r));
  }

  void end_attempt(const std::string& id, int attempt, const std::string& server, Outcome outcome,
                   Micros took) {
    const auto it = open_.find(id);
    if (it == open_.end()) {
      return;
    }
    AttemptCompleted e;
    e.id = id;
    e.attempt = attempt;
    e.server = server;
    e.outcome = outcome;
    e.duration = took;
    e.request_answered = outcome == Outcome::kOk;
    if (e.request_answered) {
      ++sums_.served, open_.erase(it);
    }
    push(std::move(e));
  }

  // ---- the module
  void push(Event event) {
    events_.push_back(std::move(event));
    if (std::exchange(flushing_, true)) {
      return;
    }
    asio::post(io_, [this] { flush(); });
  }

  void flush() {
    flushing_ = false;
    std::vector<Event> events;
    std::vector<Action> actions;
    events.swap(events_);
    const Micros before = thread_cpu_time();
    gateway_.handle(clock_.now(), events, actions);
    sums_.module_cpu += thread_cpu_time() - before;
    in_force();
    for (const Action& action : actions) {
      std::visit([this](const auto& a) { act(a); }, action);
    }
  }

  void act(const SendAttempt& a) {
    const auto it = open_.find(a.id);
    if (it == open_.end()) {
      return;
    }
    ++sums_.attempts;
    const int attempt = it->second.attempts++;
    timers_.after(options_.service, [this, id = a.id, attempt, server = a.server] {
      end_attempt(id, attempt, server, Outcome::kOk, options_.service);
    });
  }
  void act(const CancelAttempt& a) {
    asio::post(io_, [this, a] { end_attempt(a.id, a.attempt, "", Outcome::kCancelled, 0); });
  }
  void act(const Reject& a) { sums_.rejected += open_.erase(a.id); }
  void act(const Fail& a) { sums_.failed += open_.erase(a.id); }
  void act(const SetTimer& a) {
    timers_.at(a.at, [this, token = a.token] { push(TimerFired{token}); });
  }
  void act(const SendHealthCheck&) {}
  void act(const AddToCounter& a) {
    ++sums_.calls;
    if (counter_) {
      return counter_->add(a);
    }
    push(CounterReply{a.name, 0, CounterOutcome::kNotAdded, 0});
  }
  void act(const LogLine&) {}

  void answered(CounterReply a) {
    sums_.calls_not_added += a.outcome == CounterOutcome::kNotAdded;
    sums_.calls_unknown += a.outcome == CounterOutcome::kUnknown;
    push(std::move(a));
  }

  asio::io_context& io_;
  const FleetOptions& options_;
  const std::size_t position_;
  std::mt19937_64 random_;
  net::Clock clock_;
  net::Timers timers_;
  Gateway gateway_;
  std::shared_ptr<const net::EndpointList> known_;
  net::EndpointTable catalog_;
  bool applying_ = false;
  std::vector<bool> up_;  // by number
  std::shared_ptr<const std::vector<bool>> expected_;
  const Micros started_;
  Micros first_list_ = 0, right_at_ = 0, in_force_at_ = 0;
  bool was_without_ = false;
  std::int64_t told_revision_ = 0, revision_ = 0;
  double rate_ = 0;
  int load_ = 0;
  std::uint64_t last_ = 0;
  std::unordered_map<std::string, Open> open_;
  std::vector<Event> events_;
  bool flushing_ = false;
  FleetState sums_;  // those that are sums
  std::shared_ptr<net::CounterClient> counter_;
  net::DiscoveryClient discovery_;
};

// ---- Groups
// -------------------------------------------------------------------------------------------
SimulatedGatewayGroup::SimulatedGatewayGroup(asio::io_context& io, const FleetOptions& options,
                                             std::size_t first, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    gateways_.push_back(std::make_unique<SimulatedGateway>(io, options, first + i));
  }
}
SimulatedGatewayGroup::~SimulatedGatewayGroup() = default;

void SimulatedGatewayGroup::add_to(FleetState& state) const {
  for (const auto& g : gateways_) {
    g->add_to(state);
  }
}
void SimulatedGatewayGroup::set_request_rate(double requests_per_s) {
  for (const auto& g : gateways_) {
    g->set_request_rate(requests_per_s);
  }
}
void SimulatedGatewayGroup::expect(std::shared_ptr<const std::vector<bool>> up) {
  for (const auto& g : gateways_) {
    g->expect(up);
  }
}
void SimulatedGatewayGroup::add_delays(std::int64_t revision, Micros since,
                                       std::vector<double>& to) const {
  for (const auto& g : gateways_) {
    if (g->revision() >= revision) {
      to.push_back(double(g->in_force_at() - since));
    }
  }
}

// ---- SimulatedFleet
// --------------------------------------------------------------------------------------------
Settings FleetOptions::fleet_settings() {
  Settings s;
  s.zone = "a";
  s.max_attempts = 3;
  s.cancellation_allowed = s.retry_after_allowed = true;
  s.max_retry_after = 2'000'000;
  s.drain_grace = 250'000;
  ClassSettings read;
  ClassSettings write;
  read.name = "read";
  read.idempotency = Idempotency::kIdempotent;
  write.name = "write";
  s.classes = {read, write};
  PlanSettings small;
  PlanSettings large;
  small.name = "small";
  small.quota_rate = 20;
  small.quota_burst = 40;
  large.name = "large";
  large.quota_rate = 400;
  large.quota_burst = 800;
  s.plans = {small, large};
  return s;
}

std::size_t descriptors_of(const FleetOptions& options) {
  const std::size_t connections = options.gateways * (options.counter ? 2 : 1);
  return 2 * connections + 3 * options.groups + kSpareDescriptors;
}

SimulatedFleet::SimulatedFleet(FleetOptions options) : options_(std::move(options)) {
  const std::size_t allowed = raise_descriptor_limit();
  const std::size_t needed = descriptors_of(options_);
  if (needed > allowed) {
    throw std::runtime_error(std::to_string(options_.gateways) + " gateways need " +
                             std::to_string(needed) + " descriptors, " + std::to_string(allowed) +
                             " are allowed");
  }
  const std::size_t groups = std::clamp<std::size_t>(options_.groups, 1, options_.gateways);
  machines_.resize(groups);
  for (std::size_t i = 0; i < groups; ++i) {
    machines_[i].first = options_.gateways * i / groups;
    machines_[i].count = options_.gateways * (i + 1) / groups - machines_[i].first;
    begin(machines_[i]);
  }
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::begin(Group& group) {
  group.machine = std::make_unique<EventLoopThread>();
  group.gateways =
      &group.machine->emplace<SimulatedGatewayGroup>(options_, group.first, group.count);
  if (expected_) {
    group.machine->run([&] { group.gateways->expect(expected_); });
  }
}

// Danger: the clients can't be ended one by one, their handlers hold on to them; so a loop ends
// with all that is on it, as a process does.
void SimulatedFleet::restart(std::size_t group) {
  Group& g = machines_.at(group);
  g.machine->run([&] { g.gateways->add_to(ended_); });
  ended_.cpu += g.machine->cpu_time();
  g.machine.reset();
  begin(g);
}

void SimulatedFleet::set_request_rate(double requests_per_s) {
  options_.requests_per_s = requests_per_s;
  for (Group& g : machines_) {
    g.machine->run([&] { g.gateways->set_request_rate(requests_per_s); });
  }
}

void SimulatedFleet::expect(const std::vector<ListedServer>& servers) {
  auto up = std::make_shared<std::vector<bool>>(std::max(options_.servers, servers.size()));
  for (const ListedServer& s : servers) {
    const std::size_t number = server_number(s.id);
    if (number >= up->size()) {
      up->resize(number + 1);
    }
    (*up)[number] = s.phase == Phase::kUp;
  }
  expected_ = std::move(up);
  for (Group& g : machines_) {
    g.machine->run([&] { g.gateways->expect(expected_); });
  }
}

FleetState SimulatedFleet::state_of(std::size_t group) const {
  FleetState s;
  const Group& g = machines_.at(group);
  s.least_revision = std::numeric_limits<std::int64_t>::max();
  g.machine->run([&] { g.gateways->add_to(s); });
  return s;
}

FleetState SimulatedFleet::state() const {
  FleetState s = ended_;
  // Those that ended know nothing any more; whether one of them was without a list still counts.
  s.with_list = s.right = 0;
  s.last_right_at = 0;
  s.least_revision = std::numeric_limits<std::int64_t>::max();
  for (const Group& g : machines_) {
    g.machine->run([&] { g.gateways->add_to(s); });
    s.cpu += g.machine->cpu_time();
  }
  return s;
}

bool SimulatedFleet::wait_until(const std::function<bool(const FleetState&)>& holds,
                                Micros bound) const {
  const Micros end = steady_now() + bound;
  while (!holds(state())) {
    if (steady_now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::vector<double> SimulatedFleet::delays(std::int64_t revision, Micros since) const {
  std::vector<double> out;
  for (const Group& g : machines_) {
    g.machine->run([&] { g.gateways->add_delays(revision, since, out); });
  }
  return out;
}

// ---- TestFleet
// --------------------------------------------------------------------------------------------
TestFleet::TestFleet(Options options) : options_(std::move(options)) {
  const Layout& layout = options_.layout;
  // Addresses that differ, so that lists are as long as real ones; nothing listens there.
  servers_ = list_of(layout, [](std::size_t i) {
    return "127." + std::to_string(1 + i / 62'500) + "." + std::to_string(i / 250 % 250) + "." +
           std::to_string(1 + i % 250) + ":8081";
  });
  options_.discovery.servers = servers_;
  for (std::size_t i = 0; i < std::max<std::size_t>(1, options_.agents); ++i) {
    auto machine = std::make_unique<EventLoopThread>();
    auto& agent = machine->emplace<FakeDiscovery>(options_.discovery);
    options_.fleet.agents.push_back(agent.address());
    agents_.emplace_back(std::move(machine), &agent);
  }
  if (options_.with_counter) {
    counting_ = std::make_unique<EventLoopThread>();
    counter_ = &counting_->emplace<FakeCounter>(options_.counter);
    options_.fleet.counter = counter_->address();
  }
  options_.fleet.gateways = layout.gateways;
  options_.fleet.servers = layout.servers;
  if (options_.known) {
    options_.fleet.known = known_list(servers_, options_.discovery.revision);
  }
}

void TestFleet::start() {
  fleet_ = std::make_unique<SimulatedFleet>(options_.fleet);
}

std::int64_t TestFleet::publish(const std::vector<ListedServer>& entries, bool expected) {
  for (const ListedServer& e : entries) {
    servers_.at(server_number(e.id)) = e;
  }
  if (expected) {
    expect();
  }
  std::int64_t revision = 0;
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    revision = at_agent(i, [&](FakeDiscovery& agent) { return agent.publish(entries); });
  }
  return revision;
}

ListedServer TestFleet::listed_server(std::size_t server, Phase phase) const {
  ListedServer out = servers_.at(server);
  out.phase = phase;
  if (phase == Phase::kUp) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    out.up_since_ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
  }
  return out;
}

std::vector<ListedServer> TestFleet::listed_servers(
    Phase phase, const std::function<bool(std::size_t)>& in) const {
  std::vector<ListedServer> out;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (in(i)) {
      out.push_back(listed_server(i, phase));
    }
  }
  return out;
}

std::size_t TestFleet::replay(const std::vector<Disturbance>& day, Micros length, Micros step) {
  const auto begun = std::chrono::steady_clock::now();
  std::size_t changes = 0;
  for (auto it = day.begin(); it != day.end() && it->at < length;) {
    std::vector<ListedServer> entries;
    const Micros at = step > 0 ? (it->at / step + 1) * step : it->at;
    for (; it != day.end() && it->at < length && (step > 0 ? it->at < at : it->at == at); ++it) {
      if (it->cause == Cause::kRegion || it->cause == Cause::kConfiguration) {
        continue;
      }
      entries.push_back(listed_server(it->what, it->change == Change::kUp ? Phase::kUp
                                                : it->change == Change::kDraining
                                                    ? Phase::kDraining
                                                    : Phase::kRemoved));
    }
    if (entries.empty()) {
      continue;
    }
    std::this_thread::sleep_until(begun + std::chrono::microseconds(at));
    publish(entries);
    changes += entries.size();
  }
  std::this_thread::sleep_until(begun + std::chrono::microseconds(length));
  return changes;
}

bool TestFleet::wait_until_converged(Micros bound) {
  expect();
  const std::size_t gateways = options_.layout.gateways;
  return fleet_->wait_until([gateways](const FleetState& s) { return s.right == gateways; }, bound);
}

TestFleet::Usage TestFleet::usage() {
  Usage s;
  s.at = steady_now();
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    const auto c = at_agent(i, [](FakeDiscovery& agent) { return agent.counts(); });
    add(s.discovery, c, 1);
    for (const auto& [second, asks] : c.requests_by_second) {
      s.discovery.requests_by_second[second] += asks;
    }
    s.discovery.watchers += c.watchers;
    s.agents_cpu += agents_[i].first->cpu_time();
  }
  if (counter_) {
    s.counter = counting_->run([this] { return counter_->counts(); });
    s.counter_cpu = counting_->cpu_time();
  }
  if (fleet_) {
    const FleetState state = fleet_->state();
    s.gateways_cpu = state.cpu;
    s.module_cpu = state.module_cpu;
  }
  return s;
}

TestFleet::Usage TestFleet::Usage::since(const Usage& before) const {
  Usage s = *this;
  s.at -= before.at;
  s.agents_cpu -= before.agents_cpu;
  s.counter_cpu -= before.counter_cpu;
  s.gateways_cpu -= before.gateways_cpu;
  s.module_cpu -= before.module_cpu;
  add(s.discovery, before.discovery, -1);
  add(s.counter.traffic, before.counter.traffic, -1);
  s.counter.calls -= before.counter.calls;
  return s;
}

Delays summarize_delays(std::vector<double> samples) {
  if (samples.empty()) {
    return {};
  }
  std::sort(samples.begin(), samples.end());
  return {samples[samples.size() / 2], samples.back()};
}

std::vector<std::size_t> doubling_sizes(std::size_t largest) {
  std::vector<std::size_t> sizes;
  for (const std::size_t part : {26, 8, 4, 2, 1}) {
    sizes.push_back(std::max<std::size_t>(1, largest / part));
  }
  return sizes;
}

// ---- What the scenarios of a fleet share
// ----------------------------------------------------------------
bool ScenarioDeadline::expired(Report& report, const std::string& scenario,
                               const std::string& what) const {
  if (steady_now() < at_) {
    return false;
  }
  report.note(scenario, "out of time: not run at " + what);
  return true;
}

void sleep_for(Micros time) {
  std::this_thread::sleep_for(std::chrono::microseconds(time));
}

std::uint64_t fleet_memory(double gateways, double servers, double tenants, double agents) {
  return std::uint64_t(gateways *
                           (kGatewayBytes + kServerBytes * servers + kTenantBytes * tenants) +
                       agents * servers * 4 * kListBytes);
}

// A fleet of that size needs more descriptors than a process may have: bad input, told before
// anything starts.
std::uint64_t require_descriptors(std::uint64_t memory, std::size_t gateways, bool counter) {
  FleetOptions fleet;
  fleet.gateways = gateways;
  if (counter) {
    fleet.counter.emplace();
  }
  const std::size_t needed = descriptors_of(fleet);
  const std::size_t allowed = raise_descriptor_limit();
  if (needed > allowed) {
    throw std::invalid_argument(std::to_string(gateways) + " gateways need " +
                                std::to_string(needed) + " descriptors, " +
                                std::to_string(allowed) + " are allowed");
  }
  return memory;
}

TestFleet::Options test_fleet_options(const Options& options, std::size_t gateways,
                                      std::size_t servers) {
  TestFleet::Options world;
  world.layout = Layout::at(Target{}, servers, gateways);
  world.fleet.seed = options.seed;
  if (options.small) {
    world.discovery.heartbeat_interval = kSmallBeat;
  }
  return world;
}

void start_and_converge(TestFleet& world) {
  world.start();
  if (!world.wait_until_converged(kConvergenceTimeout)) {
    throw std::runtime_error("gateways have no list after a minute");
  }
}

// ---- What it takes
// ------------------------------------------------------------------------------------

CountedLog::CountedLog() : was_(std::cerr.rdbuf(this)) {}
CountedLog::~CountedLog() {
  std::cerr.rdbuf(was_);
}
int CountedLog::overflow(int c) {
  lines_ += c == '\n';
  return 0;
}
std::streamsize CountedLog::xsputn(const char* text, std::streamsize size) {
  lines_ += std::uint64_t(std::count(text, text + size, '\n'));
  return size;
}

std::shared_ptr<const net::EndpointList> known_list(const std::vector<ListedServer>& servers,
                                                    std::int64_t revision) {
  auto list = std::make_shared<net::EndpointList>();
  list->revision = revision;
  list->complete = true;
  for (const ListedServer& s : servers) {
    if (s.phase == Phase::kRemoved) {
      continue;
    }
    net::ListedEndpoint m;
    m.entry.server = s.id;
    m.entry.zone = s.locality;
    m.entry.cell = s.cell;
    m.entry.state = s.phase == Phase::kUp ? EndpointState::kUp : EndpointState::kDraining;
    m.entry.weight = s.size;
    m.entry.started_at = s.up_since_ms * 1000;
    m.address = net::parse_socket_address(s.host_port);
    list->endpoints.push_back(std::move(m));
  }
  return list;
}

}  // namespace quota_gateway::scale
