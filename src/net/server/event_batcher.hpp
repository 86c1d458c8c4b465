// The only caller of Gateway::handle. Collects the events of one turn of the event loop, hands them
// to the decision module together and has the actions that it answers with carried out in order.
// Owned by GatewayServer; every module of the server pushes events to it.
#pragma once

#include <vector>

#include "net/event_loop/event_loop.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class ActionExecutor;

class EventBatcher {
 public:
  EventBatcher(EventLoop loop, Gateway& gateway, ActionExecutor& executor);

  // Adds an event to the batch of this turn. The decision module sees it once the handlers that are
  // already queued in the loop have run, never from within this call. May be called while the
  // actions of a batch are carried out; the event then belongs to the next batch.
  void push(Event event);

 private:
  void flush();

  EventLoop loop_;
  Gateway& gateway_;
  ActionExecutor& executor_;
  std::vector<Event> events_;
  bool flush_posted_ = false;
};

}  // namespace quota_gateway::net
