#include "net/server/action_executor.hpp"

#include <iostream>
#include <utility>
#include <variant>

namespace quota_gateway::net {

ActionExecutor::ActionExecutor(EventLoop loop, EventBatcher& events, RequestDispatcher& dispatcher)
    : loop_(loop), events_(events), dispatcher_(dispatcher) {}

void ActionExecutor::execute(const Action& action) {
  std::visit([this](const auto& alternative) { this->perform(alternative); }, action);
}

void ActionExecutor::use_counter(std::shared_ptr<CounterClient> counter) {
  const auto previous = std::exchange(counter_, std::move(counter));
  if (previous) {
    previous->close_when_idle();
  }
}

void ActionExecutor::perform(const SendAttempt& action) {
  dispatcher_.send_attempt(action);
}

void ActionExecutor::perform(const CancelAttempt& action) {
  dispatcher_.cancel_attempt(action);
}

void ActionExecutor::perform(const Reject& action) {
  dispatcher_.reject(action);
}

void ActionExecutor::perform(const Fail& action) {
  dispatcher_.fail(action);
}

void ActionExecutor::perform(const SetTimer& action) {
  loop_.timers.at(action.at, [this, token = action.token] { events_.push(TimerFired{token}); });
}

// Does nothing: no deployment of the gateway program allows health checks, so the decision module
// never requests one.
void ActionExecutor::perform(const SendHealthCheck& /*action*/) {}

void ActionExecutor::perform(const AddToCounter& action) {
  if (counter_) {
    counter_->add(action);
  } else {
    events_.push(CounterReply{action.key, 0, CounterOutcome::kNotAdded, 0});
  }
}

void ActionExecutor::perform(const LogLine& action) {
  std::cerr << action.text << '\n';
}

}  // namespace quota_gateway::net
