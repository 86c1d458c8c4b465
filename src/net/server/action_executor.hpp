// Executes the actions of the decision module one at a time: actions on requests through
// RequestDispatcher, all others itself. Owned by GatewayServer, called by EventBatcher.
#pragma once

#include <memory>
#include <string>

#include "net/counter/counter_client.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/request_dispatcher.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class ActionExecutor {
 public:
  ActionExecutor(EventLoop loop, EventBatcher& events, RequestDispatcher& dispatcher);

  void execute(const Action& action);

  // Ends a request that the decision module has lost by an exception, see RequestDispatcher.
  void end_undecided(const std::string& id) { dispatcher_.end_undecided(id); }

  // Sends all further additions to `counter`. If it is null, each addition is reported as not made.
  // The previous counter client finishes its pending calls and closes.
  void use_counter(std::shared_ptr<CounterClient> counter);
  // See CounterClient::resume().
  bool resume_counter() { return counter_ && counter_->resume(); }

 private:
  void perform(const SendAttempt& action);
  void perform(const CancelAttempt& action);
  void perform(const Reject& action);
  void perform(const Fail& action);
  void perform(const SetTimer& action);
  static void perform(const SendHealthCheck& action);
  void perform(const AddToCounter& action);
  static void perform(const LogLine& action);

  EventLoop loop_;
  EventBatcher& events_;
  RequestDispatcher& dispatcher_;
  std::shared_ptr<CounterClient> counter_;
};

}  // namespace quota_gateway::net
