#include "simulated_gateway.hpp"

#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "clocks.hpp"

namespace quota_gateway::scale {

namespace asio = boost::asio;

namespace {

// If discovery has not responded within this time, the gateway uses the persisted list.
constexpr Micros kDiscoveryResponseTimeout = 500'000;
constexpr Micros kCounterConnectTimeout = 250'000;
// Keeps the seeds of gateways in fleets with different seeds apart.
constexpr std::uint64_t kSeedStride = 1'000'003;

}  // namespace

SimulatedGateway::SimulatedGateway(asio::io_context& io, const FleetOptions& options,
                                   std::size_t index)
    : io_(io),
      options_(options),
      random_(options.seed * kSeedStride + index),
      timers_(io, clock_),
      module_(settings_of(options, index), random_()),
      persisted_list_(options.persisted_list),
      progress_(options.servers, steady_now()),
      requests_(options, index, timers_, random_, [this] { on_request_due(); }),
      discovery_(io, timers_, clock_,
                 {.agent = options.agents.at(index % options.agents.size()),
                  .revision = persisted_list_ ? persisted_list_->revision : 0,
                  .seed = random_()},
                 {.on_update =
                      [this](const net::EndpointList& list) {
                        on_list(list, list.complete ? EndpointListUpdate::Kind::kComplete
                                                    : EndpointListUpdate::Kind::kPartial);
                      },
                  .on_response = [this] { use_persisted_list(); }}) {
  if (options.counter) {
    counter_ = std::make_shared<net::CounterClient>(
        io, timers_, clock_, *options.counter, options.settings.counter_timeout,
        kCounterConnectTimeout, [this](const CounterReply& reply) { on_counter_reply(reply); });
    counter_->start();
  }
  discovery_.start();
  timers_.after(kDiscoveryResponseTimeout, [this] { use_persisted_list(); });
  set_request_rate(options.requests_per_s);
}

Settings SimulatedGateway::settings_of(const FleetOptions& options, std::size_t index) {
  Settings settings = options.settings;
  settings.gateway_count = int(options.gateways);
  settings.gateway_index = int(index);
  settings.has_counter = options.counter.has_value();
  return settings;
}

void SimulatedGateway::expect(std::shared_ptr<const UpServers> expected) {
  progress_.expect(std::move(expected), steady_now());
}

GatewayState SimulatedGateway::state() const {
  GatewayState state;
  state.totals = totals_;
  state.revision = progress_.revision();
  state.has_list = progress_.has_had_list() && endpoint_table_.up_count() > 0;
  state.lost_list = progress_.lost_list();
  state.time_to_first_list = progress_.time_to_first_list();
  state.converged_at = progress_.converged_at();
  return state;
}

void SimulatedGateway::use_persisted_list() {
  if (!persisted_list_) {
    return;
  }
  const auto list = std::exchange(persisted_list_, nullptr);
  on_list(*list, EndpointListUpdate::Kind::kPersisted);
}

void SimulatedGateway::on_list(net::EndpointList list, EndpointListUpdate::Kind kind) {
  progress_.on_list_received(list.revision);
  endpoint_table_.enqueue(std::move(list));
  if (!is_applying_lists_) {
    apply_next_slice(kind);
  }
}

// Applies lists slice by slice, as EndpointListApplier does, so that other gateways on the event
// loop run between the slices.
void SimulatedGateway::apply_next_slice(EndpointListUpdate::Kind kind) {
  EndpointListUpdate update;
  update.kind = kind;
  update.entries = endpoint_table_.apply().entries;
  progress_.on_entries(update.entries);
  is_applying_lists_ = !endpoint_table_.is_idle();
  if (update.entries.empty()) {
    check_lists_applied();
  } else {
    push(std::move(update));
  }
  if (is_applying_lists_) {
    asio::post(io_, [this] { apply_next_slice(EndpointListUpdate::Kind::kPartial); });
  }
}

void SimulatedGateway::check_lists_applied() {
  if (!is_applying_lists_) {
    progress_.on_lists_applied(endpoint_table_.up_count(), steady_now());
  }
}

void SimulatedGateway::on_request_due() {
  // The real gateway does not accept clients before it has a list either.
  if (!progress_.has_had_list()) {
    return;
  }
  RequestArrived request = requests_.next_request(clock_.now());
  open_requests_.try_emplace(request.id);
  ++totals_.requests;
  push(std::move(request));
}

void SimulatedGateway::end_attempt(const std::string& id, int attempt, const std::string& server,
                                   Outcome outcome, Micros duration) {
  const auto request = open_requests_.find(id);
  if (request == open_requests_.end()) {
    return;
  }
  AttemptCompleted completed;
  completed.id = id;
  completed.attempt = attempt;
  completed.server = server;
  completed.outcome = outcome;
  completed.duration = duration;
  completed.request_answered = outcome == Outcome::kOk;
  if (completed.request_answered) {
    ++totals_.served;
    open_requests_.erase(request);
  }
  push(std::move(completed));
}

void SimulatedGateway::on_counter_reply(const CounterReply& reply) {
  if (reply.outcome == CounterOutcome::kNotAdded) {
    ++totals_.counter_calls_not_added;
  }
  if (reply.outcome == CounterOutcome::kUnknown) {
    ++totals_.counter_calls_unknown;
  }
  push(reply);
}

// Events that occur in one iteration of the event loop are passed to the module together.
void SimulatedGateway::push(Event event) {
  events_.push_back(std::move(event));
  if (has_scheduled_events_) {
    return;
  }
  has_scheduled_events_ = true;
  asio::post(io_, [this] { handle_events(); });
}

void SimulatedGateway::handle_events() {
  has_scheduled_events_ = false;
  std::vector<Event> events;
  std::vector<Action> actions;
  events.swap(events_);
  const Micros cpu_time_before = thread_cpu_time();
  module_.handle(clock_.now(), events, actions);
  totals_.module_cpu_time += thread_cpu_time() - cpu_time_before;
  check_lists_applied();
  for (const Action& action : actions) {
    std::visit([&](const auto& alternative) { perform(alternative); }, action);
  }
}

void SimulatedGateway::perform(const SendAttempt& action) {
  const auto request = open_requests_.find(action.id);
  if (request == open_requests_.end()) {
    return;
  }
  ++totals_.attempts;
  const int attempt = request->second.attempts;
  ++request->second.attempts;
  timers_.after(options_.service_time, [this, id = action.id, attempt, server = action.server] {
    end_attempt(id, attempt, server, Outcome::kOk, options_.service_time);
  });
}

void SimulatedGateway::perform(const CancelAttempt& action) {
  asio::post(
      io_, [this, action] { end_attempt(action.id, action.attempt, "", Outcome::kCancelled, 0); });
}

void SimulatedGateway::perform(const Reject& action) {
  totals_.rejected += open_requests_.erase(action.id);
}

void SimulatedGateway::perform(const Fail& action) {
  totals_.failed += open_requests_.erase(action.id);
}

void SimulatedGateway::perform(const SetTimer& action) {
  timers_.at(action.at, [this, token = action.token] { push(TimerFired{token}); });
}

void SimulatedGateway::perform(const AddToCounter& action) {
  ++totals_.counter_calls;
  if (counter_) {
    counter_->add(action);
    return;
  }
  push(CounterReply{action.key, 0, CounterOutcome::kNotAdded, 0});
}

}  // namespace quota_gateway::scale
