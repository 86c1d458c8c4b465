// The endpoints in force and the queue of endpoint lists to apply to them. Owned by ConnectionPool.
// A list is applied in slices so that the event loop runs between them. Each slice returns only the
// endpoints that it has changed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/discovery/endpoint_list.hpp"
#include "net/discovery/endpoint_store.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// The changes made by one slice, in the order in which they were made.
struct EndpointChanges {
  // New and changed endpoints, and removed endpoints with state kRemoved.
  std::vector<EndpointEntry> entries;
  // Ids of endpoints that were removed, moved to another address or restarted. Existing connections
  // to them must not be used for further requests.
  std::vector<std::string> stale_connections;
  // Ids of endpoints that were removed because another endpoint now has their address.
  std::vector<std::string> replaced;
};

struct EndpointStatus {
  // The endpoint is not draining and its address is known.
  bool up = false;
  Micros started_at = 0;
  // Port 0 if the address is unknown.
  boost::asio::ip::tcp::endpoint address;
};

class EndpointTable {
 public:
  // Maximum number of changes in one slice. All requests wait while a slice is applied and the
  // decision module processes it.
  static constexpr std::size_t kMaxChangesPerSlice = 512;

  // Appends a list to the queue. A complete list first discards all lists that are still queued.
  void enqueue(EndpointList list);
  // Applies the next slice of the queued lists. Removed, draining, moved, restarted and replaced
  // endpoints of all queued lists come first. If several lists contain an endpoint, the newest list
  // applies.
  EndpointChanges apply();
  // Whether all lists have been applied.
  bool is_idle() const { return pending_.empty(); }

  // Returns no value if the endpoint is not in force.
  std::optional<EndpointStatus> find(const std::string& id) const;
  // Number of endpoints in force.
  std::size_t size() const { return store_.size(); }
  std::size_t up_count() const { return store_.up_count(); }

 private:
  using Slot = EndpointStore::Slot;

  // Phases of applying a list, in this order.
  enum class Phase {
    kUrgent,    // applies removals, draining, moves and restarts of the listed endpoints
    kUnlisted,  // for a complete list: visits all slots and removes the endpoints not listed
    kReplaced,  // removes older endpoints at the addresses of the remaining listed endpoints
    kOther,     // applies all other changes of the remaining listed endpoints
    kRelease,   // frees the memory of the list
  };
  struct PendingList {
    EndpointList list;
    ListSequence sequence = 0;
    Phase phase = Phase::kUrgent;
    // Number of endpoints, or slots, that the current phase has processed.
    std::size_t position = 0;
    // Number of endpoints that the phases after kUrgent process. kUrgent moves them to the front.
    std::size_t remaining = 0;
  };

  bool is_slice_full() const;
  PendingList& next_pending();
  void advance(PendingList& pending);
  void process_item(PendingList& pending);
  void release(PendingList& pending);
  std::size_t item_count(const PendingList& pending) const;
  static Phase phase_after(const PendingList& pending);

  void process_urgent(PendingList& pending);
  bool apply_urgent(const ListedEndpoint& endpoint, const PendingList& pending);
  void remove_if_unlisted(Slot slot, ListSequence sequence);
  void remove_replaced(const ListedEndpoint& endpoint, ListSequence sequence);
  void apply_other(const ListedEndpoint& endpoint, ListSequence sequence);

  bool is_superseded(const std::string& id, std::optional<Slot> slot, ListSequence sequence) const;
  void record_newest_listing(const std::string& id, ListSequence sequence);
  bool has_newer_at_address(const ListedEndpoint& endpoint, ListSequence sequence) const;
  void insert(const ListedEndpoint& endpoint, ListSequence sequence);
  void update(Slot slot, const ListedEndpoint& endpoint, ListSequence sequence);
  void remove(Slot slot, ListSequence sequence);

  // Maximum number of endpoints or slots that one slice visits. It is higher than
  // kMaxChangesPerSlice because most of them may be unchanged.
  static constexpr std::size_t kMaxItemsPerSlice = 4 * kMaxChangesPerSlice;

  EndpointStore store_;
  std::deque<PendingList> pending_;
  // For endpoints that have no record and are listed by a list with older lists still queued: the
  // sequence of the newest such list. The older lists must not add these endpoints again.
  std::unordered_map<std::string, ListSequence> newest_listing_;
  ListSequence last_sequence_ = 0;
  // Changes and visited items of the current slice.
  EndpointChanges changes_;
  std::size_t visited_items_ = 0;
};

}  // namespace quota_gateway::net
