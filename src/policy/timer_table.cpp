#include "policy/timer_table.hpp"

#include <utility>

namespace quota_gateway::policy {

void TimerTable::arm(EventContext& context, const Request& request, TimerPurpose purpose,
                     Micros fire_at) {
  ++last_token_;
  timers_[last_token_] = Timer{request.id, purpose};
  context.emit(SetTimer{fire_at, last_token_});
}

std::optional<TimerTable::Timer> TimerTable::extract(std::int64_t token) {
  auto node = timers_.extract(token);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

}  // namespace quota_gateway::policy
