#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

using SteadyClock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;

}  // namespace

TimeBudget::TimeBudget(const Options& options, double default_seconds) {
  const Seconds length(options.seconds > 0 ? options.seconds : default_seconds);
  end_ = SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(length);
}

double TimeBudget::seconds_left() const {
  return Seconds(end_ - SteadyClock::now()).count();
}

}  // namespace quota_gateway::scale
