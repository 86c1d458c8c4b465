#include "support/gateway_harness.hpp"

#include <utility>

namespace quota_gateway::testing {

std::string prefixed_number(std::string prefix, Micros number) {
  return prefix.append(std::to_string(number));
}

ClassSettings read_class() {
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 500 * kMillisecond;
  read.deadline = 2 * kSecond;
  read.idempotency = Idempotency::kIdempotent;
  return read;
}

Settings basic_settings() {
  Settings settings;
  settings.classes.push_back(read_class());
  PlanSettings plan;
  plan.name = "plan";
  plan.quota_rate = 10;
  plan.quota_burst = 20;
  settings.plans.push_back(plan);
  settings.gateway_count = 2;
  settings.max_attempts = 3;
  settings.cancellation_allowed = true;
  settings.retry_after_allowed = true;
  settings.max_retry_after = kSecond;
  return settings;
}

Settings settings_with_counter() {
  Settings settings = basic_settings();
  settings.has_counter = true;
  return settings;
}

Settings settings_with_unlimited_quota() {
  Settings settings = basic_settings();
  set_quota(settings, 1e6, 1e6);
  return settings;
}

void set_quota(Settings& settings, double rate, double burst) {
  settings.plans.at(0).quota_rate = rate;
  settings.plans.at(0).quota_burst = burst;
}

void set_ceiling(Settings& settings, double rate, double burst) {
  settings.plans.at(0).ceiling_rate = rate;
  settings.plans.at(0).ceiling_burst = burst;
}

std::vector<EndpointEntry> make_endpoints(const std::vector<std::string>& names) {
  std::vector<EndpointEntry> endpoints;
  for (const std::string& name : names) {
    EndpointEntry endpoint;
    endpoint.server = name;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

EndpointListUpdate partial_update(std::vector<EndpointEntry> entries) {
  EndpointListUpdate update;
  update.kind = EndpointListUpdate::Kind::kPartial;
  update.entries = std::move(entries);
  return update;
}

RequestArrived make_request(const std::string& id, Micros now, double units) {
  RequestArrived request;
  request.id = id;
  request.customer = "c1";
  request.plan = "plan";
  request.request_class = "read";
  request.units = units;
  request.deadline = now + 2 * kSecond;
  request.gateway_subset_size = 2;
  return request;
}

AttemptCompleted make_completion(const SendAttempt& attempt, const AttemptResult& result) {
  AttemptCompleted completed;
  completed.id = attempt.id;
  completed.server = attempt.server;
  completed.attempt = result.attempt;
  completed.outcome = result.outcome;
  completed.duration = result.duration;
  completed.request_answered = result.outcome == Outcome::kOk;
  return completed;
}

CounterReply make_counter_reply(const AddToCounter& call, double total, Micros duration) {
  CounterReply reply;
  reply.key = call.key;
  reply.total = total;
  reply.outcome = CounterOutcome::kOk;
  reply.duration = duration;
  return reply;
}

CounterReply make_counter_timeout(const AddToCounter& call, Micros duration) {
  CounterReply reply;
  reply.key = call.key;
  reply.outcome = CounterOutcome::kUnknown;
  reply.duration = duration;
  return reply;
}

std::vector<SendAttempt> attempts(const std::vector<Action>& actions) {
  return actions_of<SendAttempt>(actions);
}

std::vector<CancelAttempt> cancellations(const std::vector<Action>& actions) {
  return actions_of<CancelAttempt>(actions);
}

std::vector<Reject> rejections(const std::vector<Action>& actions) {
  return actions_of<Reject>(actions);
}

std::vector<Fail> failures(const std::vector<Action>& actions) {
  return actions_of<Fail>(actions);
}

std::vector<AddToCounter> counter_calls(const std::vector<Action>& actions) {
  return actions_of<AddToCounter>(actions);
}

void append(std::vector<Action>& actions, const std::vector<Action>& more) {
  actions.insert(actions.end(), more.begin(), more.end());
}

GatewayHarness::GatewayHarness(Settings settings, std::vector<EndpointEntry> endpoints,
                               std::uint64_t seed)
    : gateway_(std::move(settings), seed) {
  EndpointListUpdate list;
  list.entries = std::move(endpoints);
  handle(0, {list});
}

std::vector<Action> GatewayHarness::handle(Micros now, const std::vector<Event>& events) {
  std::vector<Action> actions;
  gateway_.handle(now, events, actions);
  for (const SetTimer& timer : actions_of<SetTimer>(actions)) {
    timers_.emplace(timer.at, timer.token);
  }
  append(actions_, actions);
  return actions;
}

std::vector<Action> GatewayHarness::run_timers(Micros until) {
  std::vector<Action> actions;
  while (!timers_.empty() && timers_.begin()->first <= until) {
    const auto [due_at, token] = *timers_.begin();
    timers_.erase(timers_.begin());
    append(actions, handle(due_at, {TimerFired{token}}));
  }
  return actions;
}

std::vector<Action> GatewayHarness::receive_request(Micros now, const std::string& id,
                                                    double units) {
  return handle(now, {make_request(id, now, units)});
}

std::vector<Action> GatewayHarness::complete(Micros now, const SendAttempt& attempt,
                                             const AttemptResult& result) {
  return handle(now, {make_completion(attempt, result)});
}

void GatewayHarness::serve_request(Micros now, const std::string& id,
                                   const ServerResponder& respond) {
  auto sent = attempts(receive_request(now, id));
  for (int attempt = 0; !sent.empty(); ++attempt) {
    const ServerResponse response = respond(sent[0].server);
    sent = attempts(
        complete(now + response.completes_after, sent[0],
                 {.outcome = response.outcome, .attempt = attempt, .duration = response.duration}));
  }
}

int GatewayHarness::count_admitted(Micros now, int count, double units) {
  int forwarded = 0;
  for (int i = 0; i < count; ++i) {
    const std::string id = prefixed_number(prefixed_number("b", now) + "-", i);
    for (const SendAttempt& attempt : attempts(receive_request(now, id, units))) {
      ++forwarded;
      complete(now, attempt);
    }
  }
  return forwarded;
}

}  // namespace quota_gateway::testing
