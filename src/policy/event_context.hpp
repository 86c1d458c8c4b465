// The batch of events in progress, as the policy modules see it: its time and the list of actions
// that they append to. The gateway creates one per batch; modules take it by reference and do not
// store it.
#pragma once

#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

struct EventContext {
  Micros now;                    // time of the batch
  std::vector<Action>& actions;  // in order of execution

  void emit(Action action) { actions.push_back(std::move(action)); }
};

}  // namespace quota_gateway::policy
