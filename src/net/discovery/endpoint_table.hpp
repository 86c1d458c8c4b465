// The endpoints in force, and the endpoint lists that are yet to be applied to them. Owned by
// ConnectionPool. A list is applied in slices, so that the event loop runs between them; each slice
// returns what has changed and nothing else.
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

// What a slice of a list has changed, in the order in which it happened.
struct EndpointChanges {
  // New, changed or, with the state kRemoved, gone.
  std::vector<EndpointEntry> entries;
  // Ids of those that are gone, moved or restarted: connections to them must not be used any more.
  std::vector<std::string> stale_connections;
  // Ids of those that are gone since another endpoint has their address now.
  std::vector<std::string> replaced;
};

struct EndpointStatus {
  // Neither draining nor without an address.
  bool up = false;
  Micros started_at = 0;
  // Port 0: no address is known.
  boost::asio::ip::tcp::endpoint address;
};

class EndpointTable {
 public:
  // Changes of one slice. A slice and its handling by the decision module delay all requests.
  static constexpr std::size_t kMaxChangesPerSlice = 512;

  // Adds a list behind those that are not applied yet. A complete list supersedes these.
  void enqueue(EndpointList list);
  // Applies the next slice of the lists. Removed, draining, moved, restarted and replaced endpoints
  // come first, also those of later lists; if several lists name an endpoint, the newest counts.
  EndpointChanges apply();
  // Whether all lists are applied.
  bool is_idle() const { return pending_.empty(); }

  // None: no such endpoint is in force.
  std::optional<EndpointStatus> find(const std::string& id) const;
  // Of the endpoints in force.
  std::size_t size() const { return store_.size(); }
  std::size_t up_count() const { return store_.up_count(); }

 private:
  using Slot = EndpointStore::Slot;

  // In this order.
  enum class Phase {
    kUrgent,    // each endpoint of the list: what must not wait
    kUnlisted,  // each slot, if the list is complete: what the list leaves out
    kReplaced,  // each endpoint that remains: others at its address
    kOther,     // each endpoint that remains: everything else
    kRelease,   // the memory of the list
  };
  struct PendingList {
    EndpointList list;
    ListSequence sequence = 0;
    Phase phase = Phase::kUrgent;
    // Endpoints, or slots, of the phase that are done.
    std::size_t position = 0;
    // Endpoints that remain after the urgent phase; they are moved to the front.
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
  void remember_newer(const std::string& id, ListSequence sequence);
  bool is_outranked(const ListedEndpoint& endpoint, ListSequence sequence) const;
  void insert(const ListedEndpoint& endpoint, ListSequence sequence);
  void update(Slot slot, const ListedEndpoint& endpoint, ListSequence sequence);
  void remove(Slot slot, ListSequence sequence);

  // Endpoints or slots of one slice, as most of them may turn out to be unchanged.
  static constexpr std::size_t kMaxItemsPerSlice = 4 * kMaxChangesPerSlice;

  EndpointStore store_;
  std::deque<PendingList> pending_;
  // Endpoints without a record that a list names which has others before it: these must not bring
  // back what they say of them.
  std::unordered_map<std::string, ListSequence> newer_;
  ListSequence last_sequence_ = 0;
  // Of the slice that is under way.
  EndpointChanges changes_;
  std::size_t items_ = 0;
};

}  // namespace quota_gateway::net
