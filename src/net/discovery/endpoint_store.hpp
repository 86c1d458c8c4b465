// The endpoints in force as compact records, found by id and by address. Owned by EndpointTable,
// which decides what changes.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/discovery/endpoint_list.hpp"
#include "net/discovery/slot_index.hpp"
#include "util/string_interner.hpp"

namespace quota_gateway::net {

// Numbers the lists in the order of their arrival.
using ListSequence = std::uint32_t;

struct EndpointRecord {
  std::string id;
  std::int64_t cell = 0;
  double weight = 1;
  Micros started_at = 0;
  // Interned.
  std::uint32_t zone = 0;
  // The newest list that names the endpoint.
  ListSequence listed_by = 0;
  // An IPv4 address, or the interned text of another one.
  std::uint32_t host = 0;
  // 0: no address is known.
  std::uint16_t port = 0;
  bool host_is_interned : 1 = false;
  bool used : 1 = false;
  // Neither draining nor without an address.
  bool up : 1 = false;
  bool draining : 1 = false;
};
static_assert(sizeof(EndpointRecord) <= 72, "at 170,000 endpoints each byte counts");

class EndpointStore {
 public:
  // Of a record, which stays there until it is removed. Slots are reused.
  using Slot = SlotIndex::Slot;

  // Of an endpoint whose id is new.
  void insert(const ListedEndpoint& endpoint, ListSequence sequence);
  // Returns whether the endpoint has moved or restarted, so that connections to it are stale.
  bool update(Slot slot, const ListedEndpoint& endpoint, ListSequence sequence);
  // Returns what the record was, with the state kRemoved.
  EndpointEntry remove(Slot slot);
  void set_listed_by(Slot slot, ListSequence sequence) { record(slot).listed_by = sequence; }

  const EndpointRecord& at(Slot slot) const {
    return (*chunks_[slot / kChunkSize])[slot % kChunkSize];
  }
  std::optional<Slot> find(const std::string& id) const;
  // The first endpoint with another id at the same address of whose record `matches` holds.
  template <typename Matches>
  std::optional<Slot> find_other_at_address(const ListedEndpoint& endpoint,
                                            const Matches& matches) const;
  bool is_unchanged(const EndpointRecord& record, const ListedEndpoint& endpoint) const;
  bool is_at(const EndpointRecord& record, const boost::asio::ip::tcp::endpoint& address) const;
  // With port 0 if none is known.
  boost::asio::ip::tcp::endpoint address_of(const EndpointRecord& record) const;

  // All slots are below this one; some may be unused.
  Slot slot_count() const { return slot_count_; }
  std::size_t size() const { return size_; }
  std::size_t up_count() const { return up_count_; }

 private:
  // As EndpointRecord has it.
  struct Host {
    std::uint32_t value = 0;
    bool is_interned = false;
    bool operator==(const Host&) const = default;
  };

  // Records that are allocated together. One array of all would have to be moved as it grows.
  static constexpr std::size_t kChunkSize = 256;
  using Chunk = std::array<EndpointRecord, kChunkSize>;

  EndpointRecord& record(Slot slot) { return (*chunks_[slot / kChunkSize])[slot % kChunkSize]; }
  Slot allocate();
  void set_fields(EndpointRecord& record, const ListedEndpoint& endpoint, ListSequence sequence);
  void set_address(Slot slot, const boost::asio::ip::tcp::endpoint& address);
  void clear_address(Slot slot);
  std::optional<Host> host_of(const boost::asio::ip::address& address) const;
  static std::uint64_t hash_address(Host host, std::uint16_t port);
  std::uint64_t id_hash(Slot slot) const;
  std::uint64_t address_hash(Slot slot) const;

  std::vector<std::unique_ptr<Chunk>> chunks_;
  std::vector<Slot> free_slots_;
  Slot slot_count_ = 0;
  std::size_t size_ = 0;
  std::size_t up_count_ = 0;
  SlotIndex by_id_;
  SlotIndex by_address_;
  // Zones, and hosts that are no IPv4 addresses: many endpoints share each.
  StringInterner names_;
};

template <typename Matches>
std::optional<EndpointStore::Slot> EndpointStore::find_other_at_address(
    const ListedEndpoint& endpoint, const Matches& matches) const {
  const std::uint16_t port = endpoint.address.port();
  const std::optional<Host> host = host_of(endpoint.address.address());
  if (!host) {
    return std::nullopt;
  }
  return by_address_.find(hash_address(*host, port), [&](Slot slot) {
    const EndpointRecord& other = at(slot);
    const bool same_address =
        Host{other.host, other.host_is_interned} == *host && other.port == port;
    return same_address && other.id != endpoint.entry.server && matches(other);
  });
}

}  // namespace quota_gateway::net
