#include "net/client/arrival_times.hpp"

#include <algorithm>

namespace quota_gateway::net {

void ArrivalTimes::on_received(std::size_t size, std::size_t unparsed, Micros arrived_at) {
  if (unparsed == 0) {
    arrivals_.clear();
  }
  received_ += size;
  if (!arrivals_.empty() && arrived_at - arrivals_.back().at < kResolution) {
    arrivals_.back().end = received_;
  } else {
    arrivals_.push_back({received_, arrived_at});
  }
}

Micros ArrivalTimes::of_last_parsed(std::size_t unparsed) {
  const std::uint64_t parsed = received_ - unparsed;
  const auto arrival = std::find_if(arrivals_.begin(), arrivals_.end(),
                                    [&](const Arrival& each) { return each.end >= parsed; });
  arrivals_.erase(arrivals_.begin(), arrival);
  return arrivals_.front().at;
}

Micros ArrivalTimes::of_unparsed(std::size_t offset, std::size_t unparsed) const {
  const std::uint64_t position = received_ - unparsed + offset;
  return std::find_if(arrivals_.begin(), arrivals_.end(),
                      [&](const Arrival& each) { return each.end > position; })
      ->at;
}

}  // namespace quota_gateway::net
