#include "net/server/shutdown_coordinator.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::net {
namespace {

// At a planned restart the process gets SIGKILL once the longest deadline has passed, counted as at
// most this much, and this much later. What is unanswered then is lost.
constexpr Micros kLongestDeadlineCounted = 3'000'000;
constexpr Micros kKillDelay = 700'000;
// The last attempts end this long before SIGKILL, so that each request has its answer in time.
constexpr Micros kMarginBeforeKill = 150'000;
// The part of that margin in which answers may still leave.
constexpr Micros kAnswerTime = 100'000;
// Clients go on connecting for up to 0.4 s after SIGTERM.
constexpr Micros kMinDrainTime = 1'000'000;
constexpr Micros kCheckInterval = 20'000;

Micros time_until_kill(const std::vector<ClassSettings>& classes) {
  Micros longest = 0;
  for (const ClassSettings& settings : classes) {
    longest = std::max(longest, settings.deadline);
  }
  return std::min(longest, kLongestDeadlineCounted) + kKillDelay;
}

}  // namespace

ShutdownCoordinator::ShutdownCoordinator(EventLoop loop, const RequestTable& requests,
                                         RequestDeadlines& deadlines, ClientListener& clients)
    : loop_(loop), requests_(requests), deadlines_(deadlines), clients_(clients) {}

void ShutdownCoordinator::start(const std::vector<ClassSettings>& classes,
                                std::function<void()> on_drained) {
  if (is_started()) {
    return;
  }
  on_drained_ = std::move(on_drained);
  const Micros deadline = loop_.clock.now() + time_until_kill(classes) - kMarginBeforeKill;
  deadline_ = deadline;
  deadlines_.limit_all(deadline);
  clients_.drain();
  loop_.timers.after(kMinDrainTime, [this, deadline] { check_drained(deadline); });
  loop_.timers.at(deadline, [this] { deadlines_.expire_attempts(); });
  loop_.timers.at(deadline + kDecisionGrace, [this] { deadlines_.fail_unfinished_requests(); });
}

void ShutdownCoordinator::check_drained(Micros deadline) {
  const bool drained = requests_.all_finished() && clients_.is_idle();
  if (drained || loop_.clock.now() >= deadline + kAnswerTime) {
    on_drained_();
    return;
  }
  loop_.timers.after(kCheckInterval, [this, deadline] { check_drained(deadline); });
}

}  // namespace quota_gateway::net
