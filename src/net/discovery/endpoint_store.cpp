#include "net/discovery/endpoint_store.hpp"

#include <boost/asio/ip/address.hpp>
#include <functional>
#include <string_view>
#include <utility>

#include "util/hash.hpp"

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;

std::uint64_t hash_id(const std::string& id) {
  return std::hash<std::string_view>()(id);
}

}  // namespace

void EndpointStore::insert(const ListedEndpoint& endpoint, ListSequence sequence) {
  const Slot slot = allocate();
  EndpointRecord& added = record(slot);
  added.used = true;
  added.id = endpoint.entry.server;
  added.zone = interned_strings_.acquire(endpoint.entry.zone);
  by_id_.insert(id_hash(slot), slot, [this](Slot other) { return id_hash(other); });
  if (endpoint.address.port() != 0) {
    set_address(slot, endpoint.address);
  }
  set_fields(added, endpoint, sequence);
  ++size_;
}

EndpointStore::Slot EndpointStore::allocate() {
  if (!free_slots_.empty()) {
    const Slot slot = free_slots_.back();
    free_slots_.pop_back();
    return slot;
  }
  if (slot_count_ % kChunkSize == 0) {
    chunks_.push_back(std::make_unique<Chunk>());
  }
  return slot_count_++;
}

bool EndpointStore::update(Slot slot, const ListedEndpoint& endpoint, ListSequence sequence) {
  EndpointRecord& updated = record(slot);
  const bool moved = endpoint.address.port() != 0 && !has_address(updated, endpoint.address);
  const bool restarted = updated.started_at != endpoint.entry.started_at;
  if (moved) {
    clear_address(slot);
    set_address(slot, endpoint.address);
  }
  // Acquires the new zone before releasing the old one. If both are the same string and no other
  // record uses it, releasing it first would delete it.
  const std::uint32_t zone = interned_strings_.acquire(endpoint.entry.zone);
  interned_strings_.release(std::exchange(updated.zone, zone));
  up_count_ -= updated.up;
  set_fields(updated, endpoint, sequence);
  return moved || restarted;
}

// Sets all fields except for the id, the zone and the address. The caller sets these because they
// are interned or indexed.
void EndpointStore::set_fields(EndpointRecord& record, const ListedEndpoint& endpoint,
                               ListSequence sequence) {
  const CompactEndpointEntry& entry = endpoint.entry;
  record.cell = entry.cell;
  record.weight = entry.weight;
  record.started_at = entry.started_at;
  record.draining = entry.state == EndpointState::kDraining;
  record.up = entry.state == EndpointState::kUp && endpoint.address.port() != 0;
  record.listed_by = sequence;
  up_count_ += record.up;
}

EndpointEntry EndpointStore::remove(Slot slot) {
  EndpointRecord& removed = record(slot);
  EndpointEntry entry;
  entry.server = removed.id;
  entry.zone = interned_strings_[removed.zone];
  entry.cell = removed.cell;
  entry.weight = removed.weight;
  entry.started_at = removed.started_at;
  entry.state = EndpointState::kRemoved;
  by_id_.erase(id_hash(slot), slot, [this](Slot other) { return id_hash(other); });
  clear_address(slot);
  interned_strings_.release(removed.zone);
  up_count_ -= removed.up;
  --size_;
  removed = EndpointRecord();
  free_slots_.push_back(slot);
  return entry;
}

std::optional<EndpointStore::Slot> EndpointStore::find(const std::string& id) const {
  return by_id_.find(hash_id(id), [&](Slot slot) { return at(slot).id == id; });
}

bool EndpointStore::is_unchanged(const EndpointRecord& record,
                                 const ListedEndpoint& endpoint) const {
  const CompactEndpointEntry& entry = endpoint.entry;
  const auto state = record.draining ? EndpointState::kDraining : EndpointState::kUp;
  return state == entry.state && record.started_at == entry.started_at &&
         record.cell == entry.cell && record.weight == entry.weight &&
         has_address(record, endpoint.address) && interned_strings_[record.zone] == entry.zone;
}

bool EndpointStore::has_address(const EndpointRecord& record, const tcp::endpoint& address) const {
  return record.port == address.port() &&
         host_of(address.address()) == Host{record.host, record.host_is_interned};
}

tcp::endpoint EndpointStore::address_of(const EndpointRecord& record) const {
  if (record.host_is_interned) {
    return {boost::asio::ip::make_address(interned_strings_[record.host]), record.port};
  }
  return {boost::asio::ip::address_v4(record.host), record.port};
}

void EndpointStore::set_address(Slot slot, const tcp::endpoint& address) {
  EndpointRecord& moved = record(slot);
  const boost::asio::ip::address host = address.address();
  moved.host_is_interned = !host.is_v4();
  moved.host = host.is_v4() ? host.to_v4().to_uint() : interned_strings_.acquire(host.to_string());
  moved.port = address.port();
  by_address_.insert(address_hash(slot), slot, [this](Slot other) { return address_hash(other); });
}

void EndpointStore::clear_address(Slot slot) {
  EndpointRecord& cleared = record(slot);
  if (cleared.port == 0) {
    return;
  }
  by_address_.erase(address_hash(slot), slot, [this](Slot other) { return address_hash(other); });
  if (cleared.host_is_interned) {
    interned_strings_.release(cleared.host);
  }
  cleared.host = 0;
  cleared.port = 0;
  cleared.host_is_interned = false;
}

// Returns no value for an IPv6 address that no endpoint has.
std::optional<EndpointStore::Host> EndpointStore::host_of(
    const boost::asio::ip::address& address) const {
  if (address.is_v4()) {
    return Host{address.to_v4().to_uint(), false};
  }
  const std::optional<std::uint32_t> interned_host = interned_strings_.find(address.to_string());
  if (!interned_host) {
    return std::nullopt;
  }
  return Host{*interned_host, true};
}

std::uint64_t EndpointStore::hash_address(Host host, std::uint16_t port) {
  const auto bits = std::uint64_t(host.value) << 17 | std::uint64_t(port) << 1;
  return mix(bits | std::uint64_t(host.is_interned));
}

std::uint64_t EndpointStore::id_hash(Slot slot) const {
  return hash_id(at(slot).id);
}

std::uint64_t EndpointStore::address_hash(Slot slot) const {
  const EndpointRecord& found = at(slot);
  return hash_address(Host{found.host, found.host_is_interned}, found.port);
}

}  // namespace quota_gateway::net
