#include "net/server/shutdown_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::net {
namespace {

// In a planned restart, SIGKILL follows SIGTERM after the longest deadline of all classes, capped
// at kMaxCountedDeadline, plus kKillDelay. Requests that are unanswered by then are lost.
constexpr Micros kMaxCountedDeadline = 3'000'000;
constexpr Micros kKillDelay = 700'000;
// The last attempts end this long before SIGKILL, so that every request is answered in time.
constexpr Micros kMarginBeforeKill = 150'000;
// The part of that margin in which the last responses may still be sent.
constexpr Micros kFinalResponseTime = 100'000;
// Clients continue to connect for up to 0.4 s after SIGTERM.
constexpr Micros kMinDrainTime = 1'000'000;
constexpr Micros kCheckInterval = 20'000;

Micros time_until_kill(const std::vector<ClassSettings>& classes) {
  Micros longest = 0;
  for (const ClassSettings& settings : classes) {
    longest = std::max(longest, settings.deadline);
  }
  return std::min(longest, kMaxCountedDeadline) + kKillDelay;
}

}  // namespace

ShutdownCoordinator::ShutdownCoordinator(EventLoop loop, const RequestTable& requests,
                                         RequestDeadlines& deadlines, ClientListener& clients)
    : loop_(loop), requests_(requests), deadlines_(deadlines), clients_(clients) {}

void ShutdownCoordinator::start(const std::vector<ClassSettings>& classes,
                                std::function<void()> on_drained) {
  if (is_begun_) {
    return;
  }
  if (!is_started()) {
    on_drained_ = std::move(on_drained);
    deadline_ = loop_.clock.now() + time_until_kill(classes) - kMarginBeforeKill;
  }
  const Micros deadline = *deadline_;
  deadlines_.set_latest_deadline(deadline);
  clients_.drain();
  loop_.timers.after(kMinDrainTime, [this, deadline] { check_drained(deadline); });
  loop_.timers.at(deadline, [this] { deadlines_.expire_attempts(); });
  loop_.timers.at(deadline + kDecisionGrace, [this] { deadlines_.fail_unfinished_requests(); });
  is_begun_ = true;
}

void ShutdownCoordinator::check_drained(Micros deadline) {
  if (!on_drained_) {
    return;  // called already
  }
  const bool drained = requests_.all_finished() && clients_.is_idle();
  if (drained || loop_.clock.now() >= deadline + kFinalResponseTime) {
    std::exchange(on_drained_, nullptr)();
    return;
  }
  loop_.timers.after(kCheckInterval, [this, deadline] { check_drained(deadline); });
}

}  // namespace quota_gateway::net
