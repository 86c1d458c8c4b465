#include "net/server/event_batcher.hpp"

#include <boost/asio/post.hpp>
#include <utility>

#include "net/event_loop/exception_guard.hpp"
#include "net/server/action_executor.hpp"

namespace quota_gateway::net {

EventBatcher::EventBatcher(EventLoop loop, Gateway& gateway, ActionExecutor& executor)
    : loop_(loop), gateway_(gateway), executor_(executor) {}

void EventBatcher::push(Event event) {
  events_.push_back(std::move(event));
  if (flush_posted_) {
    return;
  }
  flush_posted_ = true;
  boost::asio::post(loop_.io, [this] { flush(); });
}

void EventBatcher::flush() {
  flush_posted_ = false;
  std::vector<Event> events;
  std::vector<Action> actions;
  events.swap(events_);
  // An exception must not discard the other actions of the batch. Requests that get no decision
  // because of it fail after their deadline.
  run_and_log_exceptions("module", [&] { gateway_.handle(loop_.clock.now(), events, actions); });
  for (const Action& action : actions) {
    run_and_log_exceptions("action", [&] { executor_.execute(action); });
  }
}

}  // namespace quota_gateway::net
