#include "net/server/event_batcher.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdint>
#include <utility>
#include <variant>

#include "net/event_loop/exception_guard.hpp"
#include "net/server/action_executor.hpp"

namespace quota_gateway::net {
namespace {

bool sets_timer(const std::vector<Action>& actions, std::int64_t token) {
  return std::any_of(actions.begin(), actions.end(), [token](const Action& action) {
    const auto* const timer = std::get_if<SetTimer>(&action);
    return timer != nullptr && timer->token == token;
  });
}

}  // namespace

EventBatcher::EventBatcher(EventLoop loop, Gateway& gateway, ActionExecutor& executor)
    : loop_(loop), gateway_(gateway), executor_(executor) {}

void EventBatcher::push(Event event) {
  events_.push_back(std::move(event));
  if (flush_posted_) {
    return;
  }
  flush_posted_ = run_and_log_exceptions(
      "module", [this] { boost::asio::post(loop_.io, [this] { flush(); }); });
}

bool EventBatcher::resume() {
  const bool is_interrupted = !events_.empty() && !flush_posted_;
  if (is_interrupted) {
    flush();
  }
  return is_interrupted;
}

void EventBatcher::flush() {
  flush_posted_ = false;
  std::vector<Event> events;
  std::vector<Action> actions;
  events.swap(events_);
  const bool is_handled = run_and_log_exceptions(
      "module", [&] { gateway_.handle(loop_.clock.now(), events, actions); });
  // An exception must not discard the other actions of the batch.
  for (const Action& action : actions) {
    if (!run_and_log_exceptions("action", [&] { executor_.execute(action); })) {
      run_and_log_exceptions("action", [&] { recover_action(action); });
    }
  }
  if (!is_handled) {
    recover_batch(events, actions);
  }
}

void EventBatcher::recover_batch(std::vector<Event>& events, const std::vector<Action>& actions) {
  for (Event& event : events) {
    run_and_log_exceptions("module", [&] { recover_event(event, actions); });
  }
}

// Requests end. Events that state something are delivered again with the next batch; the module may
// have handled them already, which makes no difference. So are timers, which the module knows by
// their tokens, unless it has set the same one again.
void EventBatcher::recover_event(Event& event, const std::vector<Action>& actions) {
  if (const auto* const arrived = std::get_if<RequestArrived>(&event)) {
    return executor_.end_undecided(arrived->id);
  }
  if (const auto* const completed = std::get_if<AttemptCompleted>(&event)) {
    return executor_.end_undecided(completed->id);
  }
  const auto* const timer = std::get_if<TimerFired>(&event);
  const bool is_set_again = timer != nullptr && sets_timer(actions, timer->token);
  const bool is_statement = std::holds_alternative<EndpointListUpdate>(event) ||
                            std::holds_alternative<PeerProcessesChanged>(event) ||
                            std::holds_alternative<SettingsChanged>(event) ||
                            std::holds_alternative<ClientDisconnected>(event);
  if (is_statement || (timer != nullptr && !is_set_again)) {
    events_.push_back(std::move(event));  // resume() delivers it, if no other event comes first
  }
}

void EventBatcher::recover_action(const Action& action) {
  if (const auto* const timer = std::get_if<SetTimer>(&action)) {
    events_.emplace_back(TimerFired{timer->token});
  } else if (const auto* const call = std::get_if<AddToCounter>(&action)) {
    events_.emplace_back(CounterReply{call->key, 0, CounterOutcome::kUnknown, 0});
  } else if (const auto* const attempt = std::get_if<SendAttempt>(&action)) {
    executor_.end_undecided(attempt->id);
  } else if (const auto* const rejection = std::get_if<Reject>(&action)) {
    executor_.end_undecided(rejection->id);
  } else if (const auto* const failure = std::get_if<Fail>(&action)) {
    executor_.end_undecided(failure->id);
  }
}

}  // namespace quota_gateway::net
