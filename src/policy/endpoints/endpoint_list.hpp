// All servers that are listed, and what is known of those that are used: nothing that decides.
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"
#include "util/hash.hpp"
#include "util/order_statistic_ring.hpp"
#include "util/string_interner.hpp"

namespace quota_gateway {

// `Used` has an `entry`, its `place` in the order that all gateways see, and `usable`: listed, up;
// all three are kept here. Danger: with so much for each server, a list of 170,000 takes more than
// a gateway has.
template <typename Used>
class ServerList {
 public:
  struct Change {
    std::uint64_t place = 0;
    int came = 0;  // 1: is up now and was not, -1: the other way round
    bool restarted = false;
    Used* used = nullptr;
  };

  std::size_t size() const { return ring_.size(); }  // those that are gone but still used too
  std::size_t up() const { return ring_.counted(); }
  int draining() const { return draining_; }
  std::size_t used() const { return used_.size(); }
  // The place of the one that is up and has `rank` such before it; rank < up().
  std::uint64_t select(std::size_t rank) const { return ring_.select(rank); }

  // Calls `tell(change)` for each entry, and for each server that a whole list may have left out.
  template <typename Tell>
  void update(const EndpointListUpdate& update, Tell tell) {
    if (update.kind == EndpointListUpdate::Kind::kError) {
      return;
    }
    const bool whole = update.kind != EndpointListUpdate::Kind::kPartial;
    if (whole) {
      ring_.each([&](At at) { tell(change(at, EndpointState::kRemoved)); });
    }
    for (const EndpointEntry& e : update.entries) {
      take(e, whole, tell);
    }
    if (!whole) {
      return;
    }
    ring_.erase_if([this](const Listed& l) {
      const bool gone = l.state == EndpointState::kRemoved && !l.used;
      if (gone) {
        zones_.drop(l.zone);
      }
      return gone;
    });
  }

  // Those that are up from a place on, once round at the most, while `visit` says so; all of them
  // are used then.
  template <typename Visit>
  void use(std::uint64_t from, Visit visit) {
    ring_.walk(from, [&](std::uint64_t place, Listed& l) {
      if (!l.used) {
        l.used = used_.emplace_back(std::make_unique<Used>()).get();
        l.used->entry.server = std::string_view(l.name);
        l.used->place = place;
        describe(l);
      }
      return visit(*l.used);
    });
  }

  Used* find(const std::string& server) {
    const auto [at, found] = ring_.find(hash_text(server), server);
    return found ? ring_.at(at).used : nullptr;
  }

  template <typename Over>
  void forget_if(Over over) {
    std::erase_if(used_, [&](const std::unique_ptr<Used>& s) {
      if (!over(*s)) {
        return false;
      }
      const At at = ring_.find(s->place, s->entry.server).first;
      ring_.at(at).used = nullptr;
      if (ring_.at(at).state == EndpointState::kRemoved) {
        erase(at);
      }
      return true;
    });
  }

 private:
  struct Listed {
    CompactString name;
    std::uint32_t zone;
    float weight = 1;
    Micros started_at = 0;
    std::int64_t cell = 0;
    Used* used = nullptr;
    EndpointState state = EndpointState::kRemoved;
    bool counted = false;  // up
  };
  using At = typename OrderStatisticRing<Listed>::Position;

  template <typename Tell>
  void take(const EndpointEntry& e, bool whole, Tell tell) {
    const std::uint64_t place = hash_text(e.server);
    auto [at, found] = ring_.find(place, e.server);
    const bool gone = e.state == EndpointState::kRemoved;
    if (!found && gone) {
      return;
    }
    if (!found) {
      at = ring_.insert(at, place, Listed{CompactString(e.server), zones_.take(e.zone)});
    }
    Listed& l = ring_.at(at);
    const bool restarted = e.started_at > std::exchange(l.started_at, e.started_at);
    l.weight = float(e.weight);
    l.cell = e.cell;
    if (zones_[l.zone] != e.zone) {
      zones_.drop(std::exchange(l.zone, zones_.take(e.zone)));
    }
    Change c = change(at, e.state);
    c.restarted = restarted;
    if (gone && !l.used && !whole) {
      erase(at);
    }
    tell(c);
  }
  Change change(At at, EndpointState state) {
    Listed& l = ring_.at(at);
    draining_ += (state == EndpointState::kDraining) - (l.state == EndpointState::kDraining);
    l.state = state;
    const int was = l.counted;
    ring_.count(at, state == EndpointState::kUp);
    if (l.used) {
      describe(l);
    }
    return {ring_.place(at), int(l.counted) - was, false, l.used};
  }
  void erase(At at) {
    zones_.drop(ring_.at(at).zone);
    ring_.erase(at);
  }
  void describe(const Listed& l) const {
    Used& s = *l.used;
    s.usable = l.counted;
    s.entry.state = l.state;
    s.entry.weight = l.weight;
    s.entry.started_at = l.started_at;
    s.entry.cell = l.cell;
    s.entry.zone = zones_[l.zone];
  }

  OrderStatisticRing<Listed> ring_;
  StringInterner zones_;
  std::vector<std::unique_ptr<Used>> used_;
  int draining_ = 0;
};

}  // namespace quota_gateway
