#include "change_history.hpp"

#include <utility>

namespace quota_gateway::scale {

ChangeHistory::ChangeHistory(std::int64_t revision, std::size_t max_entries)
    : max_entries_(max_entries), oldest_revision_(revision) {}

void ChangeHistory::record(std::int64_t revision, std::vector<ServerIndex> changed) {
  entries_ += changed.size();
  changes_.push_back({revision, std::move(changed)});
  while (entries_ > max_entries_ && !changes_.empty()) {
    entries_ -= changes_.front().servers.size();
    oldest_revision_ = changes_.front().revision;
    changes_.pop_front();
  }
}

void ChangeHistory::forget(std::int64_t revision) {
  changes_.clear();
  entries_ = 0;
  oldest_revision_ = revision;
}

bool ChangeHistory::has_at_most_since(std::int64_t revision, std::size_t max_entries) const {
  if (!covers(revision)) {
    return false;
  }
  std::size_t entries = 0;
  for (auto it = changes_.rbegin(); it != changes_.rend() && it->revision > revision; ++it) {
    entries += it->servers.size();
    if (entries > max_entries) {
      return false;
    }
  }
  return true;
}

std::set<ChangeHistory::ServerIndex> ChangeHistory::changed_since(std::int64_t revision) const {
  std::set<ServerIndex> servers;
  for (auto it = changes_.rbegin(); it != changes_.rend() && it->revision > revision; ++it) {
    servers.insert(it->servers.begin(), it->servers.end());
  }
  return servers;
}

}  // namespace quota_gateway::scale
