// Stores the endpoints in force as compact records, indexed by id and by address. Owned by
// EndpointTable, which decides which records change.
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

// Sequence number of a list, in the order of arrival.
using ListSequence = std::uint32_t;

struct EndpointRecord {
  std::string id;
  std::int64_t cell = 0;
  double weight = 1;
  Micros started_at = 0;
  // Id of the interned zone name.
  std::uint32_t zone = 0;
  // The newest list that contains the endpoint.
  ListSequence listed_by = 0;
  // An IPv4 address or, if host_is_interned, the id of the interned text of an IPv6 address.
  std::uint32_t host = 0;
  // 0 if the address is unknown.
  std::uint16_t port = 0;
  bool host_is_interned : 1 = false;
  bool used : 1 = false;
  // The endpoint is not draining and its address is known.
  bool up : 1 = false;
  bool draining : 1 = false;
};
static_assert(sizeof(EndpointRecord) <= 72,
              "each byte of a record takes 170 KB with 170,000 endpoints");

class EndpointStore {
 public:
  // Position of a record, which does not change until the record is removed. Slots are reused.
  using Slot = SlotIndex::Slot;

  // Adds a record. Requires that no record has the endpoint's id.
  void insert(const ListedEndpoint& endpoint, ListSequence sequence);
  // Returns whether the endpoint's address or start time has changed, so that connections to it are
  // stale.
  bool update(Slot slot, const ListedEndpoint& endpoint, ListSequence sequence);
  // Returns the entry of the removed endpoint, with state kRemoved.
  EndpointEntry remove(Slot slot);
  void set_listed_by(Slot slot, ListSequence sequence) { record(slot).listed_by = sequence; }

  const EndpointRecord& at(Slot slot) const {
    return (*chunks_[slot / kChunkSize])[slot % kChunkSize];
  }
  std::optional<Slot> find(const std::string& id) const;
  // Finds the first endpoint that has the same address and another id and for whose record
  // `matches` returns true.
  template <typename Matches>
  std::optional<Slot> find_other_at_address(const ListedEndpoint& endpoint,
                                            const Matches& matches) const;
  bool is_unchanged(const EndpointRecord& record, const ListedEndpoint& endpoint) const;
  bool has_address(const EndpointRecord& record,
                   const boost::asio::ip::tcp::endpoint& address) const;
  // Returns port 0 if the address is unknown.
  boost::asio::ip::tcp::endpoint address_of(const EndpointRecord& record) const;

  // Upper bound of the slots, exclusive. Slots below it may be unused.
  Slot slot_count() const { return slot_count_; }
  std::size_t size() const { return size_; }
  std::size_t up_count() const { return up_count_; }

 private:
  // The host of an address in the representation of EndpointRecord.
  struct Host {
    std::uint32_t value = 0;
    bool is_interned = false;
    bool operator==(const Host&) const = default;
  };

  // Number of records that are allocated together. A single array of all records would be copied
  // each time it grows.
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
  // Zone names and IPv6 addresses. Many endpoints share each of these strings.
  StringInterner interned_strings_;
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
