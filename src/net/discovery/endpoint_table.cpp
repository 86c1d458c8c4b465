#include "net/discovery/endpoint_table.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <functional>
#include <tuple>
#include <utility>

#include "util/hash.hpp"

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kFewestCells = 4;

std::uint64_t hash_id(const std::string& id) {
  return std::hash<std::string_view>()(id);
}

std::uint64_t hash_address(std::uint32_t host, bool named, std::uint16_t port) {
  return mix(std::uint64_t(host) << 17 | std::uint64_t(port) << 1 | std::uint64_t(named));
}

std::size_t shard_of(std::uint64_t hash) {
  return hash >> 56;
}

}  // namespace

// ---- Names
// --------------------------------------------------------------------------------------------
std::uint32_t Names::acquire(const std::string& text) {
  const auto [it, fresh] = by_text_.try_emplace(text, std::uint32_t(names_.size()));
  if (fresh && !free_.empty()) {
    it->second = free_.back();
    free_.pop_back();
  } else if (fresh) {
    names_.emplace_back();
  }
  Name& name = names_[it->second];
  if (fresh) {
    name.text = text;
  }
  ++name.uses;
  return it->second;
}

void Names::release(std::uint32_t name) {
  if (--names_[name].uses > 0) {
    return;
  }
  by_text_.erase(names_[name].text);
  names_[name].text.clear();
  free_.push_back(name);
}

std::optional<std::uint32_t> Names::find(const std::string& text) const {
  const auto it = by_text_.find(text);
  if (it == by_text_.end()) {
    return std::nullopt;
  }
  return it->second;
}

// ---- SlotIndex
// ----------------------------------------------------------------------------------------
void SlotIndex::put(std::vector<std::uint32_t>& cells, std::uint64_t hash, std::uint32_t cell) {
  const std::size_t mask = cells.size() - 1;
  std::size_t at = hash & mask;
  while (cells[at] != 0) {
    at = (at + 1) & mask;
  }
  cells[at] = cell;
}

void SlotIndex::insert(std::uint64_t hash, std::uint32_t slot, const auto& hash_of) {
  Shard& shard = shards_[shard_of(hash)];
  if (4 * (shard.used + 1) > 3 * shard.cells.size()) {
    std::vector<std::uint32_t> cells(std::max(kFewestCells, 2 * shard.cells.size()));
    for (const auto cell : shard.cells) {
      if (cell != 0) {
        put(cells, hash_of(cell - 1), cell);
      }
    }
    shard.cells.swap(cells);
  }
  put(shard.cells, hash, slot + 1);
  ++shard.used;
}

void SlotIndex::erase(std::uint64_t hash, std::uint32_t slot, const auto& hash_of) {
  Shard& shard = shards_[shard_of(hash)];
  auto& cells = shard.cells;
  const std::size_t mask = cells.size() - 1;
  std::size_t gap = hash & mask;
  while (cells[gap] != slot + 1) {
    gap = (gap + 1) & mask;
  }
  --shard.used;
  // What comes behind moves up, unless it would come before its own place.
  for (std::size_t at = (gap + 1) & mask; cells[at] != 0; at = (at + 1) & mask) {
    const std::size_t home = hash_of(cells[at] - 1) & mask;
    if (((at - home) & mask) < ((at - gap) & mask)) {
      continue;
    }
    cells[gap] = cells[at];
    gap = at;
  }
  cells[gap] = 0;
}

std::optional<std::uint32_t> SlotIndex::find(std::uint64_t hash, const auto& is) const {
  const auto& cells = shards_[shard_of(hash)].cells;
  if (cells.empty()) {
    return std::nullopt;
  }
  const std::size_t mask = cells.size() - 1;
  for (std::size_t at = hash & mask; cells[at] != 0; at = (at + 1) & mask) {
    if (is(cells[at] - 1)) {
      return cells[at] - 1;
    }
  }
  return std::nullopt;
}

// ---- Lists on their way
// -------------------------------------------------------------------------------
void EndpointTable::enqueue(EndpointList list) {
  if (list.complete) {
    pending_.clear();
    newer_.clear();
  }
  pending_.emplace_back();
  pending_.back().list = std::move(list);
  pending_.back().sequence = ++sequence_;
}

EndpointChanges EndpointTable::apply() {
  looks_ = 0;
  while (!pending_.empty() && within_slice()) {
    advance(next());
  }
  if (pending_.empty()) {
    newer_.clear();
  }
  return std::exchange(difference_, {});
}

// What is urgent in any list comes before what is not in the first.
EndpointTable::Pending& EndpointTable::next() {
  for (Pending& p : pending_) {
    if (p.phase < Pending::Phase::kRest) {
      return p;
    }
  }
  return pending_.front();
}

void EndpointTable::advance(Pending& p) {
  using Phase = Pending::Phase;
  auto& members = p.list.endpoints;
  if (p.phase == Phase::kDone) {
    return end(p);
  }
  const std::size_t all = p.phase == Phase::kUrgent     ? members.size()
                          : p.phase == Phase::kUnlisted ? slots_
                                                        : p.kept;
  for (; p.at < all && within_slice(); ++p.at, ++looks_) {
    if (p.phase == Phase::kUrgent) {
      if (!look_urgent(members[p.at], p)) {
        continue;
      }
      if (p.kept != p.at) {
        members[p.kept] = std::move(members[p.at]);
      }
      ++p.kept;
    } else if (p.phase == Phase::kUnlisted) {
      // Servers get new ids when they are replaced, all day long: those that a whole list leaves
      // out are not kept.
      if (at(Slot(p.at)).used && at(Slot(p.at)).told < p.sequence) {
        remove(Slot(p.at), p.sequence);
      }
    } else if (p.phase == Phase::kReplaced) {
      settle_address(members[p.at], p);
    } else {
      add(members[p.at], p);
    }
  }
  if (p.at < all) {
    return;
  }
  p.phase =
      p.phase == Phase::kUrgent && !p.list.complete ? Phase::kReplaced : Phase(int(p.phase) + 1);
  p.at = 0;
}

// Lets a list go that is in force, the first. Danger: all of a long one at once takes milliseconds.
void EndpointTable::end(Pending& p) {
  auto& members = p.list.endpoints;
  for (; !members.empty() && within_slice(); ++looks_) {
    members.pop_back();
  }
  if (members.empty()) {
    pending_.pop_front();
  }
}

// Applies what must not wait. False if nothing else is to be done about the member.
bool EndpointTable::look_urgent(const ListedEndpoint& m, const Pending& p) {
  const auto slot = slot_of(m.entry.server);
  if (overtaken(m.entry.server, slot, p.sequence)) {
    return false;
  }
  if (!slot) {
    remember(m.entry.server, p.sequence);
    return true;
  }
  Record& r = at(*slot);
  r.told = p.sequence;
  const bool unchanged = same(r, m);
  // The others at the address of an unchanged one are gone if they are not told of as well: here by
  // themselves.
  if (unchanged) {
    return !p.list.complete;
  }
  if (m.entry.state == EndpointState::kRemoved) {
    remove(*slot, p.sequence);
  } else if (m.entry.state == EndpointState::kDraining || r.started_at != m.entry.started_at ||
             (m.address.port() != 0 && !is_at(r, m.address))) {
    update(*slot, m, p.sequence);
  }
  return true;
}

// Danger: what is meant for the one that was at an address would come to the new one there, which
// may be cold. The last to start is the one that is there, and of equals the one told last.
void EndpointTable::settle_address(const ListedEndpoint& m, const Pending& p) {
  if (m.entry.state == EndpointState::kRemoved || m.address.port() == 0) {
    return;
  }
  if (overtaken(m.entry.server, slot_of(m.entry.server), p.sequence)) {
    return;
  }
  const auto less = [&](const Record& r) {
    return std::tuple(r.started_at, r.told) < std::tuple(m.entry.started_at, p.sequence);
  };
  while (const auto other = other_at(m, less)) {
    difference_.replaced.push_back(at(*other).id);
    remove(*other, p.sequence);
  }
}

bool EndpointTable::outranked(const ListedEndpoint& m, Sequence sequence) const {
  return m.address.port() != 0 &&
         other_at(m, [&](const Record& r) {
           return std::tuple(r.started_at, r.told) > std::tuple(m.entry.started_at, sequence);
         }).has_value();
}

// By now all that was in force before is as the list tells it, so others at the address are those
// that stay.
void EndpointTable::add(ListedEndpoint& m, const Pending& p) {
  const auto slot = slot_of(m.entry.server);
  if (overtaken(m.entry.server, slot, p.sequence)) {
    return;
  }
  if (m.entry.state == EndpointState::kRemoved) {
    if (slot) {
      remove(*slot, p.sequence);
    }
    return;
  }
  if (outranked(m, p.sequence)) {
    if (!slot) {
      return;
    }
    difference_.replaced.push_back(m.entry.server);
    return remove(*slot, p.sequence);
  }
  settle_address(m, p);
  if (!slot) {
    insert(m, p.sequence);
  } else if (!same(at(*slot), m)) {
    update(*slot, m, p.sequence);
  }
}

bool EndpointTable::overtaken(const std::string& id, std::optional<Slot> slot,
                              Sequence sequence) const {
  if (slot) {
    return at(*slot).told > sequence;
  }
  if (newer_.empty()) {
    return false;
  }
  const auto it = newer_.find(id);
  return it != newer_.end() && it->second > sequence;
}

void EndpointTable::remember(const std::string& id, Sequence sequence) {
  if (pending_.front().sequence < sequence) {
    newer_[id] = sequence;
  }
}

// ---- Records
// ------------------------------------------------------------------------------------------
std::optional<EndpointTable::Server> EndpointTable::find(const std::string& server) const {
  const auto slot = slot_of(server);
  if (!slot) {
    return std::nullopt;
  }
  const Record& r = at(*slot);
  return Server{r.up, r.started_at, address_of(r)};
}

std::optional<EndpointTable::Slot> EndpointTable::slot_of(const std::string& id) const {
  return by_id_.find(hash_id(id), [&](Slot slot) { return at(slot).id == id; });
}

template <typename Is>
std::optional<EndpointTable::Slot> EndpointTable::other_at(const ListedEndpoint& m,
                                                           const Is& is) const {
  const auto host = host_of(m.address.address());
  if (!host) {
    return std::nullopt;
  }
  return by_address_.find(hash_address(host->value, host->named, m.address.port()), [&](Slot slot) {
    const Record& r = at(slot);
    return Host{r.host, r.named} == *host && r.port == m.address.port() && r.id != m.entry.server &&
           is(r);
  });
}

// None for one that nothing here has.
std::optional<EndpointTable::Host> EndpointTable::host_of(
    const boost::asio::ip::address& address) const {
  if (address.is_v4()) {
    return Host{address.to_v4().to_uint(), false};
  }
  const auto name = names_.find(address.to_string());
  if (!name) {
    return std::nullopt;
  }
  return Host{*name, true};
}

tcp::endpoint EndpointTable::address_of(const Record& r) const {
  if (r.named) {
    return {boost::asio::ip::make_address(names_.at(r.host)), r.port};
  }
  return {boost::asio::ip::address_v4(r.host), r.port};
}

bool EndpointTable::is_at(const Record& r, const tcp::endpoint& address) const {
  return r.port == address.port() && host_of(address.address()) == Host{r.host, r.named};
}

bool EndpointTable::same(const Record& r, const ListedEndpoint& m) const {
  const auto& e = m.entry;
  const auto state = r.draining ? EndpointState::kDraining : EndpointState::kUp;
  return state == e.state && r.started_at == e.started_at && r.cell == e.cell &&
         r.weight == e.weight && is_at(r, m.address) && names_.at(r.zone) == e.zone;
}

std::uint64_t EndpointTable::id_hash(Slot slot) const {
  return hash_id(at(slot).id);
}
std::uint64_t EndpointTable::address_hash(Slot slot) const {
  const Record& r = at(slot);
  return hash_address(r.host, r.named, r.port);
}

void EndpointTable::insert(ListedEndpoint& m, Sequence sequence) {
  Slot slot = slots_;
  if (!free_.empty()) {
    slot = free_.back();
    free_.pop_back();
  } else if (slots_++ % kChunk == 0) {
    chunks_.push_back(std::make_unique<Record[]>(kChunk));
  }
  Record& r = at(slot);
  r.used = true;
  r.id = m.entry.server;
  r.zone = names_.acquire(m.entry.zone);
  by_id_.insert(id_hash(slot), slot, [this](Slot s) { return id_hash(s); });
  if (m.address.port() != 0) {
    put_address(slot, m.address);
  }
  set(r, m, sequence);
  ++size_;
  difference_.entries.push_back(std::move(m.entry));
}

void EndpointTable::update(Slot slot, const ListedEndpoint& m, Sequence sequence) {
  Record& r = at(slot);
  const bool moves = m.address.port() != 0 && !is_at(r, m.address);
  if (moves || r.started_at != m.entry.started_at) {
    difference_.stale_connections.push_back(r.id);
  }
  if (moves) {
    drop_address(slot);
    put_address(slot, m.address);
  }
  // The new one first: what is released may be all that keeps it.
  const auto zone = names_.acquire(m.entry.zone);
  names_.release(std::exchange(r.zone, zone));
  up_ -= r.up;
  set(r, m, sequence);
  difference_.entries.push_back(m.entry);
}

// What a list tells of a server, but for its names and its address, which are counted and indexed.
void EndpointTable::set(Record& r, const ListedEndpoint& m, Sequence sequence) {
  r.cell = m.entry.cell;
  r.weight = m.entry.weight;
  r.started_at = m.entry.started_at;
  r.draining = m.entry.state == EndpointState::kDraining;
  r.up = m.entry.state == EndpointState::kUp && m.address.port() != 0;
  r.told = sequence;
  up_ += r.up;
}

void EndpointTable::remove(Slot slot, Sequence sequence) {
  Record& r = at(slot);
  remember(r.id, sequence);
  EndpointEntry& gone = difference_.entries.emplace_back();
  gone.server = r.id;
  gone.zone = names_.at(r.zone);
  gone.cell = r.cell;
  gone.weight = r.weight;
  gone.started_at = r.started_at;
  gone.state = EndpointState::kRemoved;
  difference_.stale_connections.push_back(r.id);
  by_id_.erase(id_hash(slot), slot, [this](Slot s) { return id_hash(s); });
  drop_address(slot);
  names_.release(r.zone);
  up_ -= r.up;
  --size_;
  r = Record();
  free_.push_back(slot);
}

void EndpointTable::put_address(Slot slot, const tcp::endpoint& address) {
  Record& r = at(slot);
  const auto host = address.address();
  r.named = !host.is_v4();
  r.host = r.named ? names_.acquire(host.to_string()) : host.to_v4().to_uint();
  r.port = address.port();
  by_address_.insert(address_hash(slot), slot, [this](Slot s) { return address_hash(s); });
}

void EndpointTable::drop_address(Slot slot) {
  Record& r = at(slot);
  if (r.port == 0) {
    return;
  }
  by_address_.erase(address_hash(slot), slot, [this](Slot s) { return address_hash(s); });
  if (r.named) {
    names_.release(r.host);
  }
  r.host = r.port = 0;
  r.named = false;
}

}  // namespace quota_gateway::net
