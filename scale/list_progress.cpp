#include "list_progress.hpp"

#include <algorithm>
#include <utility>

#include "layout.hpp"

namespace quota_gateway::scale {

void ListProgress::on_entries(const std::vector<EndpointEntry>& entries) {
  for (const EndpointEntry& entry : entries) {
    const std::size_t server = server_number(entry.server);
    if (server >= up_servers_.size()) {
      up_servers_.resize(server + 1);
    }
    up_servers_[server] = entry.state == EndpointState::kUp;
  }
}

void ListProgress::on_lists_applied(std::size_t up_count, Micros now) {
  if (received_revision_ == revision_) {
    return;
  }
  revision_ = received_revision_;
  applied_at_ = now;
  if (up_count > 0 && !time_to_first_list_) {
    time_to_first_list_ = std::max<Micros>(1, now - started_at_);
  }
  if (up_count == 0 && time_to_first_list_) {
    lost_list_ = true;
  }
  check_converged(now);
}

void ListProgress::expect(std::shared_ptr<const UpServers> expected, Micros now) {
  expected_ = std::move(expected);
  converged_at_.reset();
  check_converged(now);
}

void ListProgress::check_converged(Micros now) {
  if (!expected_ || revision_ == 0 || up_servers_ != *expected_) {
    return;
  }
  expected_ = nullptr;
  converged_at_ = now;
}

}  // namespace quota_gateway::scale
