#include "net/discovery/endpoint_table.hpp"

#include <utility>

namespace quota_gateway::net {
namespace {

// Decides between two endpoints that are listed at the same address. The endpoint that started
// later has precedence; if both started at the same time, the endpoint listed later has precedence.
struct AddressPrecedence {
  Micros started_at = 0;
  ListSequence listed_by = 0;
};

AddressPrecedence precedence_of(const EndpointRecord& record) {
  return {record.started_at, record.listed_by};
}

AddressPrecedence precedence_of(const ListedEndpoint& endpoint, ListSequence sequence) {
  return {endpoint.entry.started_at, sequence};
}

bool has_lower_precedence(const AddressPrecedence& precedence, const AddressPrecedence& other) {
  if (precedence.started_at != other.started_at) {
    return precedence.started_at < other.started_at;
  }
  return precedence.listed_by < other.listed_by;
}

}  // namespace

void EndpointTable::enqueue(EndpointList list) {
  if (list.complete) {
    pending_.clear();
    newest_listing_.clear();
  }
  PendingList& added = pending_.emplace_back();
  added.list = std::move(list);
  added.sequence = ++last_sequence_;
}

EndpointChanges EndpointTable::apply() {
  visited_items_ = 0;
  while (!pending_.empty() && !is_slice_full()) {
    advance(next_pending());
  }
  if (pending_.empty()) {
    newest_listing_.clear();
  }
  return std::exchange(changes_, {});
}

std::optional<EndpointStatus> EndpointTable::find(const std::string& id) const {
  const auto slot = store_.find(id);
  if (!slot) {
    return std::nullopt;
  }
  const EndpointRecord& record = store_.at(*slot);
  return EndpointStatus{record.up, record.started_at, store_.address_of(record)};
}

bool EndpointTable::is_slice_full() const {
  return changes_.entries.size() >= kMaxChangesPerSlice || visited_items_ >= kMaxItemsPerSlice;
}

// Returns the first list that has not finished the phases up to kReplaced, or the oldest list if
// there is none. So the urgent changes of all lists are applied before any other changes.
EndpointTable::PendingList& EndpointTable::next_pending() {
  for (PendingList& pending : pending_) {
    if (pending.phase < Phase::kOther) {
      return pending;
    }
  }
  return pending_.front();
}

void EndpointTable::advance(PendingList& pending) {
  if (pending.phase == Phase::kRelease) {
    release(pending);
    return;
  }
  const std::size_t count = item_count(pending);
  while (pending.position < count && !is_slice_full()) {
    process_item(pending);
    ++pending.position;
    ++visited_items_;
  }
  if (pending.position == count) {
    pending.phase = phase_after(pending);
    pending.position = 0;
  }
}

std::size_t EndpointTable::item_count(const PendingList& pending) const {
  switch (pending.phase) {
    case Phase::kUrgent:
      return pending.list.endpoints.size();
    case Phase::kUnlisted:
      return store_.slot_count();
    default:
      return pending.remaining;
  }
}

EndpointTable::Phase EndpointTable::phase_after(const PendingList& pending) {
  switch (pending.phase) {
    case Phase::kUrgent:
      return pending.list.complete ? Phase::kUnlisted : Phase::kReplaced;
    case Phase::kUnlisted:
      return Phase::kReplaced;
    case Phase::kReplaced:
      return Phase::kOther;
    default:
      return Phase::kRelease;
  }
}

void EndpointTable::process_item(PendingList& pending) {
  switch (pending.phase) {
    case Phase::kUrgent:
      process_urgent(pending);
      break;
    case Phase::kUnlisted:
      remove_if_unlisted(Slot(pending.position), pending.sequence);
      break;
    case Phase::kReplaced:
      remove_replaced(pending.list.endpoints[pending.position], pending.sequence);
      break;
    case Phase::kOther:
      apply_other(pending.list.endpoints[pending.position], pending.sequence);
      break;
    case Phase::kRelease:
      break;
  }
}

// Frees the oldest list after it has been applied. This is done in slices, because freeing a long
// list in one step would take milliseconds.
void EndpointTable::release(PendingList& pending) {
  ListedEndpoints& endpoints = pending.list.endpoints;
  while (!endpoints.empty() && !is_slice_full()) {
    endpoints.pop_back();
    ++visited_items_;
  }
  if (endpoints.empty()) {
    pending_.pop_front();
  }
}

void EndpointTable::process_urgent(PendingList& pending) {
  ListedEndpoints& endpoints = pending.list.endpoints;
  if (!apply_urgent(endpoints[pending.position], pending)) {
    return;
  }
  if (pending.remaining != pending.position) {
    endpoints[pending.remaining] = std::move(endpoints[pending.position]);
  }
  ++pending.remaining;
}

// Applies a removal, a draining, a move or a restart. Returns whether the later phases must process
// the endpoint too.
bool EndpointTable::apply_urgent(const ListedEndpoint& endpoint, const PendingList& pending) {
  const CompactEndpointEntry& entry = endpoint.entry;
  const auto slot = store_.find(entry.server);
  if (is_superseded(entry.server, slot, pending.sequence)) {
    return false;
  }
  if (!slot) {
    record_newest_listing(entry.server, pending.sequence);
    return true;
  }
  store_.set_listed_by(*slot, pending.sequence);
  const EndpointRecord& record = store_.at(*slot);
  if (store_.is_unchanged(record, endpoint)) {
    // Other endpoints at the address need no check if the list is complete: either the list
    // contains them, so they are processed themselves, or they are removed as unlisted.
    return !pending.list.complete;
  }
  if (entry.state == EndpointState::kRemoved) {
    remove(*slot, pending.sequence);
    return true;
  }
  const bool restarted = record.started_at != entry.started_at;
  const bool moved = endpoint.address.port() != 0 && !store_.has_address(record, endpoint.address);
  if (entry.state == EndpointState::kDraining || restarted || moved) {
    update(*slot, endpoint, pending.sequence);
  }
  return true;
}

// Removes the endpoint if a complete list does not contain it. Replaced servers get new ids all the
// time, so keeping unlisted endpoints would let the table grow without bound.
void EndpointTable::remove_if_unlisted(Slot slot, ListSequence sequence) {
  const EndpointRecord& record = store_.at(slot);
  if (record.used && record.listed_by < sequence) {
    remove(slot, sequence);
  }
}

// Removes older endpoints at the endpoint's address. Otherwise requests for an older endpoint would
// reach the new one at that address, which may still be warming up.
void EndpointTable::remove_replaced(const ListedEndpoint& endpoint, ListSequence sequence) {
  const CompactEndpointEntry& entry = endpoint.entry;
  if (entry.state == EndpointState::kRemoved || endpoint.address.port() == 0) {
    return;
  }
  if (is_superseded(entry.server, store_.find(entry.server), sequence)) {
    return;
  }
  const auto is_older = [&](const EndpointRecord& other) {
    return has_lower_precedence(precedence_of(other), precedence_of(endpoint, sequence));
  };
  while (const auto other = store_.find_other_at_address(endpoint, is_older)) {
    changes_.replaced.push_back(store_.at(*other).id);
    remove(*other, sequence);
  }
}

// Whether another endpoint at the same address has precedence over this endpoint.
bool EndpointTable::has_newer_at_address(const ListedEndpoint& endpoint,
                                         ListSequence sequence) const {
  const auto is_newer = [&](const EndpointRecord& other) {
    return has_lower_precedence(precedence_of(endpoint, sequence), precedence_of(other));
  };
  return endpoint.address.port() != 0 &&
         store_.find_other_at_address(endpoint, is_newer).has_value();
}

// The earlier phases have already brought moved, restarted and removed records up to date with the
// list. Therefore other endpoints at the same address are ones that stay in force.
void EndpointTable::apply_other(const ListedEndpoint& endpoint, ListSequence sequence) {
  const std::string& id = endpoint.entry.server;
  const auto slot = store_.find(id);
  if (is_superseded(id, slot, sequence)) {
    return;
  }
  if (endpoint.entry.state == EndpointState::kRemoved) {
    if (slot) {
      remove(*slot, sequence);
    }
    return;
  }
  if (has_newer_at_address(endpoint, sequence)) {
    if (slot) {
      changes_.replaced.push_back(id);
      remove(*slot, sequence);
    }
    return;
  }
  remove_replaced(endpoint, sequence);
  if (!slot) {
    insert(endpoint, sequence);
  } else if (!store_.is_unchanged(store_.at(*slot), endpoint)) {
    update(*slot, endpoint, sequence);
  }
}

// Whether a later list contains the endpoint.
bool EndpointTable::is_superseded(const std::string& id, std::optional<Slot> slot,
                                  ListSequence sequence) const {
  if (slot) {
    return store_.at(*slot).listed_by > sequence;
  }
  if (newest_listing_.empty()) {
    return false;
  }
  const auto found = newest_listing_.find(id);
  return found != newest_listing_.end() && found->second > sequence;
}

void EndpointTable::record_newest_listing(const std::string& id, ListSequence sequence) {
  if (pending_.front().sequence < sequence) {
    newest_listing_[id] = sequence;
  }
}

void EndpointTable::insert(const ListedEndpoint& endpoint, ListSequence sequence) {
  store_.insert(endpoint, sequence);
  changes_.entries.push_back(endpoint.entry);
}

void EndpointTable::update(Slot slot, const ListedEndpoint& endpoint, ListSequence sequence) {
  if (store_.update(slot, endpoint, sequence)) {
    changes_.stale_connections.push_back(endpoint.entry.server);
  }
  changes_.entries.push_back(endpoint.entry);
}

void EndpointTable::remove(Slot slot, ListSequence sequence) {
  record_newest_listing(store_.at(slot).id, sequence);
  changes_.entries.push_back(store_.remove(slot));
  changes_.stale_connections.push_back(changes_.entries.back().server);
}

}  // namespace quota_gateway::net
