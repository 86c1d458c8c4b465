// The only caller of Gateway::handle. Collects the events of one turn of the event loop, passes
// them to the decision module as one batch and has the resulting actions executed in order. Owned
// by GatewayServer; every module of the server pushes events to it.
#pragma once

#include <vector>

#include "net/event_loop/event_loop.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class ActionExecutor;

class EventBatcher {
 public:
  EventBatcher(EventLoop loop, Gateway& gateway, ActionExecutor& executor);

  // Adds an event to the current batch. The decision module gets the batch once the handlers that
  // are already queued in the event loop have run, never from within this call. May be called while
  // the actions of a batch are executed; the event then belongs to the next batch.
  void push(Event event);

  // Passes on events whose delivery an exception has prevented. Returns whether there were any.
  bool resume();

 private:
  void flush();
  // The module or one of the actions has thrown an exception: nobody may wait for what was lost.
  void recover_batch(std::vector<Event>& events, const std::vector<Action>& actions);
  void recover_event(Event& event, const std::vector<Action>& actions);
  void recover_action(const Action& action);

  EventLoop loop_;
  Gateway& gateway_;
  ActionExecutor& executor_;
  std::vector<Event> events_;
  bool flush_posted_ = false;
};

}  // namespace quota_gateway::net
