// The trace ids of the latest requests that may have run and must not run twice. A client uses each
// id once, so a request that comes again with one of them is not a request of its own. Owned by
// RequestTable.
#pragma once

#include <boost/intrusive/unordered_set.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace quota_gateway::net {

// Remembers the latest kMaxIds ids, each by a hash of 64 bits. All memory is allocated at
// construction, in two blocks: an id is not lost for lack of memory, and no small blocks that
// outlive their requests keep the pages between them from being returned to the system.
class RecentTraceIds {
 public:
  static constexpr std::size_t kMaxIds = 16'384;

  // Throws std::bad_alloc.
  RecentTraceIds();
  RecentTraceIds(const RecentTraceIds&) = delete;
  RecentTraceIds& operator=(const RecentTraceIds&) = delete;

  // Forgets the oldest id if there are kMaxIds others.
  void add(const std::string& trace_id) noexcept;
  bool contains(const std::string& trace_id) const noexcept;

 private:
  using Link = boost::intrusive::link_mode<boost::intrusive::normal_link>;
  struct Id : boost::intrusive::unordered_set_base_hook<Link> {
    explicit Id(std::uint64_t id_hash) : hash(id_hash) {}
    friend bool operator==(const Id& left, const Id& right) { return left.hash == right.hash; }
    std::uint64_t hash;
  };
  // The hashes are spread evenly already.
  struct HashOfId {
    std::size_t operator()(const Id& id) const { return id.hash; }
  };
  using IdSet = boost::intrusive::unordered_set<Id, boost::intrusive::hash<HashOfId>,
                                                boost::intrusive::power_2_buckets<true>>;

  bool contains(const Id& id) const { return set_.find(id) != set_.end(); }

  std::vector<IdSet::bucket_type> buckets_;
  std::vector<Id> ids_;  // a ring once it is full; never reallocated
  std::size_t oldest_ = 0;
  IdSet set_;  // of `ids_`
};

}  // namespace quota_gateway::net
