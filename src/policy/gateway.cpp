// Implements the gateway: dispatches events to the policy modules and owns the state that they
// share. The modules make all decisions.
#include "quota_gateway/gateway.hpp"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <variant>

#include "policy/admission.hpp"
#include "policy/attempt_completion.hpp"
#include "policy/attempt_sender.hpp"
#include "policy/endpoints/load_balancer.hpp"
#include "policy/event_context.hpp"
#include "policy/hold_queue.hpp"
#include "policy/log_limiter.hpp"
#include "policy/quota/quota_allocator.hpp"
#include "policy/quota/rate_ceiling.hpp"
#include "policy/rejection_stats.hpp"
#include "policy/request_finisher.hpp"
#include "policy/request_intake.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_policy.hpp"
#include "policy/settings_registry.hpp"
#include "policy/time_units.hpp"
#include "policy/timer_table.hpp"
#include "util/hash.hpp"
#include "util/string_concat.hpp"

namespace quota_gateway {

using namespace policy;

class Gateway::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed);

  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions);
  int unavailable_endpoints() const { return load_balancer_.unavailable_endpoints(); }

 private:
  static Settings sanitized(Settings settings);

  void on_event(EventContext& context, const EndpointListUpdate& event);
  void on_event(EventContext& context, const RequestArrived& event);
  void on_event(EventContext& context, const StreamStarted& event);
  void on_event(EventContext& context, const AttemptWritten& event);
  void on_event(EventContext& context, const AttemptCompleted& event);
  void on_event(EventContext& context, const ResponseAborted& event);
  void on_event(EventContext& context, const ClientDisconnected& event);
  void on_event(EventContext& context, const TimerFired& event);
  void on_event(EventContext& context, const HealthCheckCompleted& event);
  void on_event(EventContext& context, const CounterReply& event);
  void on_event(EventContext& context, const PeerProcessesChanged& event);
  void on_event(EventContext& context, const SettingsChanged& event);

  void on_timer(EventContext& context, Request& request, const StalledAttemptCheck& check);
  void on_timer(EventContext& context, Request& request, const CounterWaitTimeout& timeout);
  void on_timer(EventContext& context, Request& request, const HoldTimeout& timeout);
  void on_period(EventContext& context);

  void decide(EventContext& context, Request& request);
  void log_rejections(EventContext& context);

  Settings settings_;
  const std::uint64_t seed_;
  SettingsRegistry registry_;
  RequestTable requests_;
  TimerTable timers_;
  LogLimiter log_;
  RejectionStats rejection_stats_;
  RetryPolicy retry_policy_;
  QuotaAllocator quota_;
  RateCeiling rate_ceiling_;
  LoadBalancer load_balancer_;
  RequestIntake intake_;
  Admission admission_;
  AttemptSender sender_;
  RequestFinisher finisher_;
  HoldQueue hold_queue_;
  AttemptCompletion completion_;
  std::optional<Micros> next_period_at_;  // empty before the first batch
};

Gateway::Impl::Impl(Settings settings, std::uint64_t seed)
    : settings_(sanitized(std::move(settings))),
      seed_(seed),
      retry_policy_(settings_),
      quota_(settings_, mix(seed)),
      rate_ceiling_(settings_),
      load_balancer_(settings_, mix(seed + 1)),
      intake_(settings_, registry_, quota_, requests_),
      admission_(settings_, quota_, rate_ceiling_, load_balancer_, timers_,
                 rejection_stats_.counts()),
      sender_(settings_, retry_policy_, rate_ceiling_, load_balancer_, timers_),
      finisher_(settings_, rejection_stats_.counts(), requests_),
      hold_queue_(settings_, requests_, timers_, log_, load_balancer_, sender_, finisher_),
      completion_(settings_, load_balancer_, log_, retry_policy_, sender_, hold_queue_, finisher_) {
  registry_.update(settings_);
}

Settings Gateway::Impl::sanitized(Settings settings) {
  settings.gateway_count = std::max(1, settings.gateway_count);
  return settings;
}

void Gateway::Impl::handle(Micros now, const std::vector<Event>& events,
                           std::vector<Action>& actions) {
  EventContext context{now, actions};
  if (!next_period_at_) {  // the seed staggers the periods of the gateways
    next_period_at_ = now + 1 + Micros(mix(seed_) % std::uint64_t(kUpdatePeriod));
    context.emit(SetTimer{*next_period_at_, TimerTable::kPeriodicToken});
  }
  for (const Event& event : events) {
    std::visit([&](const auto& typed_event) { on_event(context, typed_event); }, event);
  }
  hold_queue_.dispatch_ready(context);
}

void Gateway::Impl::on_event(EventContext& context, const EndpointListUpdate& event) {
  load_balancer_.update_endpoints(context.now, event);
}

void Gateway::Impl::on_event(EventContext& context, const RequestArrived& event) {
  rejection_stats_.counts().on_request();
  Request& request = intake_.create(context.now, event);
  if (!admission_.waits_for_first_total(context, request)) {
    decide(context, request);
  }
}

void Gateway::Impl::on_event(EventContext&, const StreamStarted& event) {
  if (Request* request = requests_.find(event.id)) {
    request->done = true;  // the response is being streamed to the client
  }
}

void Gateway::Impl::on_event(EventContext& context, const AttemptWritten& event) {
  if (Request* request = requests_.find(event.id)) {
    sender_.on_written(context, *request, event.attempt);
  }
}

void Gateway::Impl::on_event(EventContext& context, const AttemptCompleted& event) {
  Request* const request = requests_.find(event.id);
  if (request && completion_.on_completed(context, *request, event)) {
    requests_.erase_if_unused(*request);
  }
}

void Gateway::Impl::on_event(EventContext& context, const ResponseAborted& event) {
  if (load_balancer_.on_response_aborted(context.now, event.server)) {
    log_.log(context, LogKind::kEndpoint, event.server + " ejected as an outlier");
  }
}

void Gateway::Impl::on_event(EventContext& context, const ClientDisconnected& event) {
  if (Request* request = requests_.find(event.id)) {
    finisher_.finish_and_erase(context, *request);
  }
}

void Gateway::Impl::on_event(EventContext& context, const TimerFired& event) {
  if (event.token == TimerTable::kPeriodicToken) {
    on_period(context);
    return;
  }
  const auto timer = timers_.extract(event.token);
  if (!timer) {
    return;
  }
  Request* const request = requests_.find(timer->request_id);
  if (!request || request->done) {
    return;
  }
  std::visit([&](const auto& purpose) { on_timer(context, *request, purpose); }, timer->purpose);
}

void Gateway::Impl::on_event(EventContext&, const HealthCheckCompleted&) {}

void Gateway::Impl::on_event(EventContext& context, const CounterReply& event) {
  for (const std::string& id : admission_.on_counter_reply(context.now, event)) {
    Request* const request = requests_.find(id);
    if (request && request->waiting_for_counter) {
      decide(context, *request);
    }
  }
  if (event.outcome != CounterOutcome::kOk) {
    log_.log(context, LogKind::kCounter, "call failed; continuing with the last known totals");
  }
}

void Gateway::Impl::on_event(EventContext& context, const PeerProcessesChanged& event) {
  const int processes = 1 + event.peer_count;
  quota_.refill_ceilings(context.now, rate_ceiling_);
  quota_.set_process_count(context.now, processes);
  load_balancer_.set_process_count(processes);
}

void Gateway::Impl::on_event(EventContext& context, const SettingsChanged& event) {
  quota_.refill_ceilings(context.now, rate_ceiling_);
  settings_ = sanitized(event.settings);
  registry_.update(settings_);
  quota_.on_settings_changed(context.now);
  load_balancer_.on_settings_changed();
}

void Gateway::Impl::on_timer(EventContext& context, Request& request,
                             const StalledAttemptCheck& check) {
  sender_.check_stalled(context, request, check.attempt);
}

void Gateway::Impl::on_timer(EventContext& context, Request& request, const CounterWaitTimeout&) {
  if (request.waiting_for_counter) {
    decide(context, request);
  }
}

void Gateway::Impl::on_timer(EventContext&, Request&, const HoldTimeout&) {
  // handle() dispatches the hold queue after every batch.
}

void Gateway::Impl::on_period(EventContext& context) {
  load_balancer_.on_period(context.now);
  quota_.on_period(context.now, context.actions);
  log_rejections(context);
  // Periods missed because of a late batch are skipped.
  next_period_at_ = std::max(*next_period_at_ + kUpdatePeriod, context.now);
  context.emit(SetTimer{*next_period_at_, TimerTable::kPeriodicToken});
}

void Gateway::Impl::decide(EventContext& context, Request& request) {
  switch (admission_.decide(context, request)) {
    case AdmissionDecision::kWaitForCounter:
      break;
    case AdmissionDecision::kAdmitted:
      hold_queue_.send_or_hold(context, request);
      break;
    case AdmissionDecision::kRejected:
      finisher_.finish_and_erase(context, request);
      break;
  }
}

void Gateway::Impl::log_rejections(EventContext& context) {
  const auto counts = rejection_stats_.take_if_due(context.now);
  if (counts && counts->has_rejections()) {
    log_.log(context, LogKind::kRejections,
             concat(counts->text(), "; ", format_quota_stats(quota_.take_stats(context.now)), "; ",
                    load_balancer_.describe_state(context.now)));
  }
}

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

void Gateway::handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->handle(now, events, actions);
}
int Gateway::unavailable_endpoints() const {
  return impl_->unavailable_endpoints();
}

}  // namespace quota_gateway
