// The batch of events at hand, as every policy module sees it: when it happened and where the
// decisions go. The gateway makes one per batch; modules take it by reference and never keep it.
#pragma once

#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

struct EventContext {
  Micros now;                    // us; the instant of the batch
  std::vector<Action>& actions;  // in the order in which they are to be carried out

  void emit(Action action) { actions.push_back(std::move(action)); }
};

}  // namespace quota_gateway::policy
