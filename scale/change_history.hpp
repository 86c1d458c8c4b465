// A bounded history of which servers changed at which revision of the endpoint list. FakeDiscovery
// owns it and uses it to build partial lists for watchers. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <vector>

namespace quota_gateway::scale {

// Stores the changed servers of each revision and discards the oldest revisions when it is full.
class ChangeHistory {
 public:
  // The position of a server in the order in which servers were first listed.
  using ServerIndex = std::uint32_t;

  // Starts without changes at `revision`. Stores at most `max_entries` changed servers.
  ChangeHistory(std::int64_t revision, std::size_t max_entries);

  // Stores the servers that changed at `revision` and discards the oldest revisions while there are
  // too many entries. The revision must increase from call to call.
  void record(std::int64_t revision, std::vector<ServerIndex> changed);
  // Discards all stored changes. From now on only changes after `revision` are known.
  void forget(std::int64_t revision);

  // Returns whether all changes after `revision` are still stored.
  bool covers(std::int64_t revision) const { return revision >= oldest_revision_; }
  // Returns whether all changes after `revision` are still stored and have at most `max_entries`
  // entries in total.
  bool has_at_most_since(std::int64_t revision, std::size_t max_entries) const;
  // Returns the servers that changed after `revision`, each once, as far as the history goes back.
  std::set<ServerIndex> changed_since(std::int64_t revision) const;

 private:
  struct Change {
    std::int64_t revision = 0;
    std::vector<ServerIndex> servers;
  };

  const std::size_t max_entries_;
  std::deque<Change> changes_;
  // Total number of servers in `changes_`; a server counts once for each of its changes.
  std::size_t entries_ = 0;
  // All changes after this revision are stored.
  std::int64_t oldest_revision_;
};

}  // namespace quota_gateway::scale
