#include "net/discovery/endpoint_table.hpp"

#include <utility>

namespace quota_gateway::net {
namespace {

// Of two endpoints listed at one address, the one with the stronger claim is there: the one that
// started last, and of equals the one listed last.
struct AddressClaim {
  Micros started_at = 0;
  ListSequence listed_by = 0;
};

AddressClaim claim_of(const EndpointRecord& record) {
  return {record.started_at, record.listed_by};
}

AddressClaim claim_of(const ListedEndpoint& endpoint, ListSequence sequence) {
  return {endpoint.entry.started_at, sequence};
}

bool is_weaker(const AddressClaim& claim, const AddressClaim& other) {
  if (claim.started_at != other.started_at) {
    return claim.started_at < other.started_at;
  }
  return claim.listed_by < other.listed_by;
}

}  // namespace

void EndpointTable::enqueue(EndpointList list) {
  if (list.complete) {
    pending_.clear();
    newer_.clear();
  }
  PendingList& added = pending_.emplace_back();
  added.list = std::move(list);
  added.sequence = ++last_sequence_;
}

EndpointChanges EndpointTable::apply() {
  items_ = 0;
  while (!pending_.empty() && !is_slice_full()) {
    advance(next_pending());
  }
  if (pending_.empty()) {
    newer_.clear();
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
  return changes_.entries.size() >= kMaxChangesPerSlice || items_ >= kMaxItemsPerSlice;
}

// What is urgent in any list comes before what is not in the first.
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
    ++items_;
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

// The first list is applied. To free a long one at once would take milliseconds.
void EndpointTable::release(PendingList& pending) {
  ListedEndpoints& endpoints = pending.list.endpoints;
  while (!endpoints.empty() && !is_slice_full()) {
    endpoints.pop_back();
    ++items_;
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

// Applies what must not wait. Returns whether the endpoint needs the later phases.
bool EndpointTable::apply_urgent(const ListedEndpoint& endpoint, const PendingList& pending) {
  const CompactEndpointEntry& entry = endpoint.entry;
  const auto slot = store_.find(entry.server);
  if (is_superseded(entry.server, slot, pending.sequence)) {
    return false;
  }
  if (!slot) {
    remember_newer(entry.server, pending.sequence);
    return true;
  }
  store_.set_listed_by(*slot, pending.sequence);
  const EndpointRecord& record = store_.at(*slot);
  if (store_.is_unchanged(record, endpoint)) {
    // A complete list names the others at its address as well, or they are removed as unlisted.
    return !pending.list.complete;
  }
  if (entry.state == EndpointState::kRemoved) {
    remove(*slot, pending.sequence);
    return true;
  }
  const bool restarted = record.started_at != entry.started_at;
  const bool moved = endpoint.address.port() != 0 && !store_.is_at(record, endpoint.address);
  if (entry.state == EndpointState::kDraining || restarted || moved) {
    update(*slot, endpoint, pending.sequence);
  }
  return true;
}

// Servers get new ids when they are replaced, all day long, so what a complete list leaves out is
// not kept.
void EndpointTable::remove_if_unlisted(Slot slot, ListSequence sequence) {
  const EndpointRecord& record = store_.at(slot);
  if (record.used && record.listed_by < sequence) {
    remove(slot, sequence);
  }
}

// Without this, requests to the endpoint that was at an address would go to the new one there,
// which may be warming up.
void EndpointTable::remove_replaced(const ListedEndpoint& endpoint, ListSequence sequence) {
  const CompactEndpointEntry& entry = endpoint.entry;
  if (entry.state == EndpointState::kRemoved || endpoint.address.port() == 0) {
    return;
  }
  if (is_superseded(entry.server, store_.find(entry.server), sequence)) {
    return;
  }
  const auto is_older = [&](const EndpointRecord& other) {
    return is_weaker(claim_of(other), claim_of(endpoint, sequence));
  };
  while (const auto other = store_.find_other_at_address(endpoint, is_older)) {
    changes_.replaced.push_back(store_.at(*other).id);
    remove(*other, sequence);
  }
}

bool EndpointTable::is_outranked(const ListedEndpoint& endpoint, ListSequence sequence) const {
  const auto is_newer = [&](const EndpointRecord& other) {
    return is_weaker(claim_of(endpoint, sequence), claim_of(other));
  };
  return endpoint.address.port() != 0 &&
         store_.find_other_at_address(endpoint, is_newer).has_value();
}

// By now all records that existed before are as the list describes them, so others at the address
// are those that stay.
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
  if (is_outranked(endpoint, sequence)) {
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

// Whether a later list names the endpoint.
bool EndpointTable::is_superseded(const std::string& id, std::optional<Slot> slot,
                                  ListSequence sequence) const {
  if (slot) {
    return store_.at(*slot).listed_by > sequence;
  }
  if (newer_.empty()) {
    return false;
  }
  const auto found = newer_.find(id);
  return found != newer_.end() && found->second > sequence;
}

void EndpointTable::remember_newer(const std::string& id, ListSequence sequence) {
  if (pending_.front().sequence < sequence) {
    newer_[id] = sequence;
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
  remember_newer(store_.at(slot).id, sequence);
  changes_.entries.push_back(store_.remove(slot));
  changes_.stale_connections.push_back(changes_.entries.back().server);
}

}  // namespace quota_gateway::net
