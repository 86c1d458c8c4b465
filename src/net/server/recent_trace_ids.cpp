#include "net/server/recent_trace_ids.hpp"

#include "util/hash.hpp"

namespace quota_gateway::net {

RecentTraceIds::RecentTraceIds()
    : buckets_(kMaxIds), set_(IdSet::bucket_traits(buckets_.data(), buckets_.size())) {
  ids_.reserve(kMaxIds);
}

void RecentTraceIds::add(const std::string& trace_id) noexcept {
  const std::uint64_t hash = hash_text(trace_id);
  if (set_.find(hash) != set_.end()) {
    return;
  }
  if (ids_.size() < kMaxIds) {
    set_.insert(ids_.emplace_back(hash));
    return;
  }
  Id& id = ids_[oldest_];
  set_.erase(set_.iterator_to(id));
  id.hash = hash;
  set_.insert(id);
  oldest_ = (oldest_ + 1) % kMaxIds;
}

bool RecentTraceIds::contains(const std::string& trace_id) const noexcept {
  return set_.find(hash_text(trace_id)) != set_.end();
}

}  // namespace quota_gateway::net
