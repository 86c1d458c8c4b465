// Stores all listed endpoints in ring order, which is the same on all gateways, and the state of
// those that this gateway uses. Applies list updates; makes no decisions.
//
// A list may hold 170,000 endpoints, but a gateway uses only a few of them. An endpoint in use has
// an Endpoint object for its state. Every other endpoint has only a compact entry, because an
// Endpoint object for each would take more memory than a gateway has.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy/endpoints/endpoint.hpp"
#include "quota_gateway/gateway.hpp"
#include "util/compact_string.hpp"
#include "util/order_statistic_ring.hpp"
#include "util/rank_cursor.hpp"
#include "util/string_interner.hpp"

namespace quota_gateway::policy {

class EndpointRegistry {
 public:
  // The effect of an update on one endpoint.
  struct Change {
    std::uint64_t ring_position = 0;
    CountChange up_change = CountChange::kUnchanged;
    bool restarted = false;        // the listed start time is later than before
    Endpoint* endpoint = nullptr;  // null if the endpoint is not in use
  };

  std::size_t size() const { return ring_.size(); }  // including removed ones in use
  std::size_t up_count() const { return ring_.counted_size(); }
  int draining_count() const { return draining_count_; }
  std::size_t in_use_count() const { return in_use_.size(); }

  // Returns the position of the endpoint that is up and preceded by `rank` endpoints that are up;
  // `rank` must be less than up_count().
  std::uint64_t position_of_rank(std::size_t rank) const { return ring_.position_of_rank(rank); }

  // Applies an update and calls `on_change(const Change&)` after each applied entry. For a complete
  // list, every known endpoint is first reported as removed, then each entry is applied. Skips
  // entries that remove an unknown endpoint, and ignores an update of kind kError. `on_change` must
  // not call the registry, except for its counts.
  template <typename OnChange>
  void update(const EndpointListUpdate& update, OnChange on_change);

  // Calls `visit(Endpoint&)` for the endpoints that are up, starting at a ring position and going
  // round the ring at most once, until `visit` returns false. Marks all visited endpoints as in
  // use.
  template <typename Visit>
  void use_from(std::uint64_t position, Visit visit);

  // Returns the endpoint of this name if it is in use, otherwise null.
  Endpoint* find(const std::string& server);

  // Deletes the state of each endpoint in use for which `predicate(Endpoint&)` returns true.
  template <typename Predicate>
  void forget_if(Predicate predicate);

 private:
  struct ListedEndpoint {
    CompactString name;
    std::uint32_t zone;  // id in zones_
    float weight = 1;
    Micros started_at = 0;
    std::int64_t cell = 0;
    Endpoint* endpoint = nullptr;  // null if the endpoint is not in use
    EndpointState state = EndpointState::kRemoved;
    bool counted = false;  // true if it is up; set by the ring
  };
  using Ring = OrderStatisticRing<ListedEndpoint>;

  enum class ListKind { kPartial, kComplete };

  // Returns nothing if the entry removes an unknown endpoint.
  std::optional<Change> apply(const EndpointEntry& entry, ListKind kind);

  // Returns whether the endpoint has restarted.
  bool update_description(ListedEndpoint& listed, const EndpointEntry& entry);
  Change set_state(Ring::Slot slot, EndpointState state);
  void erase_removed_endpoints();
  void erase(Ring::Slot slot);
  Endpoint& start_use(std::uint64_t position, ListedEndpoint& listed);
  void stop_use(const Endpoint& endpoint);
  void copy_description(const ListedEndpoint& listed) const;

  Ring ring_;
  StringInterner zones_;
  std::vector<std::unique_ptr<Endpoint>> in_use_;
  int draining_count_ = 0;
};

template <typename OnChange>
void EndpointRegistry::update(const EndpointListUpdate& update, OnChange on_change) {
  if (update.kind == EndpointListUpdate::Kind::kError) {
    return;
  }
  const bool is_partial = update.kind == EndpointListUpdate::Kind::kPartial;
  if (!is_partial) {
    ring_.for_each([&](Ring::Slot slot) { on_change(set_state(slot, EndpointState::kRemoved)); });
  }
  for (const EndpointEntry& entry : update.entries) {
    const std::optional<Change> change =
        apply(entry, is_partial ? ListKind::kPartial : ListKind::kComplete);
    if (change) {
      on_change(*change);
    }
  }
  if (!is_partial) {
    erase_removed_endpoints();
  }
}

template <typename Visit>
void EndpointRegistry::use_from(std::uint64_t position, Visit visit) {
  ring_.visit_counted_from(position, [&](std::uint64_t found_at, ListedEndpoint& listed) {
    return visit(listed.endpoint != nullptr ? *listed.endpoint : start_use(found_at, listed));
  });
}

template <typename Predicate>
void EndpointRegistry::forget_if(Predicate predicate) {
  std::erase_if(in_use_, [&](const std::unique_ptr<Endpoint>& endpoint) {
    if (!predicate(*endpoint)) {
      return false;
    }
    stop_use(*endpoint);
    return true;
  });
}

}  // namespace quota_gateway::policy
