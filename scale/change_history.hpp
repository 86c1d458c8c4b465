// Which servers changed at which revision, as far back as a number of entries allows. Owned by
// FakeDiscovery, which tells a watcher what changed since its revision; does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace quota_gateway::scale {

class ChangeHistory {
 public:
  // The number of a server in the order in which it was first listed.
  using ServerIndex = std::uint32_t;

  ChangeHistory(std::int64_t revision, std::size_t max_entries);

  // The revision grows from call to call.
  void record(std::int64_t revision, std::vector<ServerIndex> changed);
  // Forgets all changes up to and including the revision.
  void forget(std::int64_t revision);

  // Whether all changes after the revision are known.
  bool covers(std::int64_t revision) const { return revision >= oldest_revision_; }
  // Whether they are known and are no more than `max_entries`.
  bool has_at_most_since(std::int64_t revision, std::size_t max_entries) const;
  // Each server once that changed after the revision, as far as is known.
  std::set<ServerIndex> changed_since(std::int64_t revision) const;

 private:
  struct Change {
    std::int64_t revision = 0;
    std::vector<ServerIndex> servers;
  };

  const std::size_t max_entries_;
  std::deque<Change> changes_;
  // Servers in all of the changes.
  std::size_t entries_ = 0;
  // Changes after this revision are known.
  std::int64_t oldest_revision_;
};

}  // namespace quota_gateway::scale
