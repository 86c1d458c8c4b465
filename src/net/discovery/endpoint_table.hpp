// The servers in force, compact, without the kind that nothing reads, and the lists that are on
// their way into it. A list is taken in slices, so that the loop runs between them; each slice
// tells what has changed and nothing else.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/discovery/discovery_client.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Texts that many servers have in common, each kept once and as long as it is used.
class Names {
 public:
  std::uint32_t acquire(const std::string& text);
  void release(std::uint32_t name);
  const std::string& at(std::uint32_t name) const { return names_[name].text; }
  std::optional<std::uint32_t> find(const std::string& text) const;

 private:
  struct Name {
    std::string text;
    std::size_t uses = 0;
  };
  std::deque<Name> names_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<std::string, std::uint32_t> by_text_;
};

// Slots of records by a hash; many slots may have the same. Danger: one table that grows moves all
// that it holds at once, 20 ms at 170,000; the shards grow one by one.
class SlotIndex {
 public:
  void insert(std::uint64_t hash, std::uint32_t slot, const auto& hash_of);
  void erase(std::uint64_t hash, std::uint32_t slot, const auto& hash_of);
  // The first slot of that hash for which `is` holds.
  std::optional<std::uint32_t> find(std::uint64_t hash, const auto& is) const;

 private:
  struct Shard {
    std::vector<std::uint32_t> cells;  // slot + 1, or 0; a power of two of them
    std::size_t used = 0;
  };
  static void put(std::vector<std::uint32_t>& cells, std::uint64_t hash, std::uint32_t cell);
  std::array<Shard, 256> shards_;
};

// What a slice of a list has changed, in the order in which it happened.
struct EndpointChanges {
  std::vector<EndpointEntry> entries;  // new, changed or, as kRemoved, gone
  std::vector<std::string>
      stale_connections;  // gone, moved or restarted: connections there mean nothing any more
  std::vector<std::string> replaced;  // of these, gone since another one has their address now
};

class EndpointTable {
 public:
  // Changes of one slice. Danger: a slice and what the module makes of it hold up all requests.
  static constexpr std::size_t kMaxChangesPerSlice = 512;

  struct Server {
    bool up = false;
    Micros started_at = 0;
    boost::asio::ip::tcp::endpoint address;
  };

  // Takes a list, whole or changes, behind those that are on their way. A whole one replaces these.
  void enqueue(EndpointList list);
  // The next slice of what was taken. What is gone, drains, has moved, restarted or been replaced
  // goes first, also of lists that came later; of a server that several lists tell of the newest
  // counts.
  EndpointChanges apply();
  // All that was taken is in force.
  bool is_idle() const { return pending_.empty(); }

  std::optional<Server> find(const std::string& server) const;
  // Servers in force, and those of them that run.
  std::size_t size() const { return size_; }
  std::size_t up_count() const { return up_; }

 private:
  using Sequence = std::uint32_t;  // of lists
  using Slot = std::uint32_t;
  struct Host {
    std::uint32_t value = 0;  // an IPv4 address, or the name of another one
    bool named = false;
    bool operator==(const Host&) const = default;
  };
  struct Record {
    std::string id;
    std::int64_t cell = 0;
    double weight = 1;
    Micros started_at = 0;
    std::uint32_t zone = 0;
    Sequence told = 0;       // by which list, last
    std::uint32_t host = 0;  // as in Host
    std::uint16_t port = 0;  // 0: no address was told
    bool named : 1 = false;  // the host is
    bool used : 1 = false;
    bool up : 1 = false;  // and its address told
    bool draining : 1 = false;
  };
  static_assert(sizeof(Record) <= 72, "at 170,000 servers each byte counts");
  struct Pending {
    EndpointList list;
    Sequence sequence = 0;
    enum class Phase { kUrgent, kUnlisted, kReplaced, kRest, kDone } phase = Phase::kUrgent;
    std::size_t at = 0;    // members, or slots, that are done
    std::size_t kept = 0;  // members that are left for the next phase
  };

  bool within_slice() const {
    return difference_.entries.size() < kMaxChangesPerSlice && looks_ < kLooks;
  }
  Pending& next();
  void advance(Pending& p);
  void end(Pending& p);
  bool look_urgent(const ListedEndpoint& m, const Pending& p);
  void settle_address(const ListedEndpoint& m, const Pending& p);
  void add(ListedEndpoint& m, const Pending& p);

  bool overtaken(const std::string& id, std::optional<Slot> slot, Sequence sequence) const;
  void remember(const std::string& id, Sequence sequence);
  bool outranked(const ListedEndpoint& m, Sequence sequence) const;
  bool same(const Record& r, const ListedEndpoint& m) const;
  bool is_at(const Record& r, const boost::asio::ip::tcp::endpoint& address) const;
  void insert(ListedEndpoint& m, Sequence sequence);
  void update(Slot slot, const ListedEndpoint& m, Sequence sequence);
  void remove(Slot slot, Sequence sequence);
  void put_address(Slot slot, const boost::asio::ip::tcp::endpoint& address);
  void drop_address(Slot slot);
  void set(Record& r, const ListedEndpoint& m, Sequence sequence);
  std::optional<Slot> slot_of(const std::string& id) const;
  // The first other server at that address of which `is` holds.
  template <typename Is>
  std::optional<Slot> other_at(const ListedEndpoint& m, const Is& is) const;
  std::optional<Host> host_of(const boost::asio::ip::address& address) const;
  boost::asio::ip::tcp::endpoint address_of(const Record& r) const;
  std::uint64_t id_hash(Slot slot) const;
  std::uint64_t address_hash(Slot slot) const;

  static constexpr std::size_t kChunk = 256;  // records that are allocated together
  static constexpr std::size_t kLooks =
      4 * kMaxChangesPerSlice;  // members of a slice that may turn out to be unchanged
  Record& at(Slot slot) { return chunks_[slot / kChunk][slot % kChunk]; }
  const Record& at(Slot slot) const { return chunks_[slot / kChunk][slot % kChunk]; }

  std::vector<std::unique_ptr<Record[]>> chunks_;
  std::vector<Slot> free_;
  Slot slots_ = 0;  // that were ever used
  std::size_t size_ = 0, up_ = 0;
  SlotIndex by_id_, by_address_;
  Names names_;
  std::deque<Pending> pending_;
  // Servers without a record of which a list has told that has others before it: these must not
  // bring back what they tell of them.
  std::unordered_map<std::string, Sequence> newer_;
  Sequence sequence_ = 0;
  EndpointChanges difference_;
  std::size_t looks_ = 0;
};

}  // namespace quota_gateway::net
