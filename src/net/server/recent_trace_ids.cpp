#include "net/server/recent_trace_ids.hpp"

#include "util/hash.hpp"

namespace quota_gateway::net {

RecentTraceIds::RecentTraceIds()
    : buckets_(kMaxIds), set_(IdSet::bucket_traits(buckets_.data(), buckets_.size())) {
  ids_.reserve(kMaxIds);
}

void RecentTraceIds::add(const std::string& trace_id) noexcept {
  const Id added(hash_text(trace_id));
  if (contains(added)) {
    return;
  }
  if (ids_.size() < kMaxIds) {
    set_.insert(ids_.emplace_back(added));
    return;
  }
  Id& id = ids_[oldest_];
  set_.erase(set_.iterator_to(id));
  id.hash = added.hash;
  set_.insert(id);
  oldest_ = (oldest_ + 1) % kMaxIds;
}

bool RecentTraceIds::contains(const std::string& trace_id) const noexcept {
  return contains(Id(hash_text(trace_id)));
}

}  // namespace quota_gateway::net
