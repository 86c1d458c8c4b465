#include "policy/endpoints/endpoint_registry.hpp"

#include <utility>

#include "util/hash.hpp"

namespace quota_gateway::policy {
namespace {

CountChange count_change(bool before, bool after) {
  if (before == after) {
    return CountChange::kUnchanged;
  }
  return after ? CountChange::kBecameCounted : CountChange::kNoLongerCounted;
}

}  // namespace

Endpoint* EndpointRegistry::find(const std::string& server) {
  const auto [slot, found] = ring_.find(hash_text(server), server);
  return found ? ring_.at(slot).endpoint : nullptr;
}

std::optional<EndpointRegistry::Change> EndpointRegistry::apply(const EndpointEntry& entry,
                                                                ListKind kind) {
  const std::uint64_t position = hash_text(entry.server);
  auto [slot, found] = ring_.find(position, entry.server);
  const bool is_removed = entry.state == EndpointState::kRemoved;
  if (!found) {
    if (is_removed) {
      return std::nullopt;
    }
    ListedEndpoint listed{CompactString(entry.server), zones_.acquire(entry.zone)};
    slot = ring_.insert(slot, position, std::move(listed));
  }
  ListedEndpoint& listed = ring_.at(slot);
  const bool restarted = update_description(listed, entry);
  Change change = set_state(slot, entry.state);
  change.restarted = restarted;
  // Endpoints that a complete list removes are erased together after its last entry.
  if (is_removed && listed.endpoint == nullptr && kind == ListKind::kPartial) {
    erase(slot);
  }
  return change;
}

bool EndpointRegistry::update_description(ListedEndpoint& listed, const EndpointEntry& entry) {
  const bool restarted = entry.started_at > listed.started_at;
  listed.started_at = entry.started_at;
  listed.weight = static_cast<float>(entry.weight);
  listed.cell = entry.cell;
  if (zones_[listed.zone] != entry.zone) {
    const std::uint32_t old_zone = listed.zone;
    listed.zone = zones_.acquire(entry.zone);
    zones_.release(old_zone);
  }
  return restarted;
}

EndpointRegistry::Change EndpointRegistry::set_state(Ring::Slot slot, EndpointState state) {
  ListedEndpoint& listed = ring_.at(slot);
  draining_count_ -= static_cast<int>(listed.state == EndpointState::kDraining);
  draining_count_ += static_cast<int>(state == EndpointState::kDraining);
  listed.state = state;
  const bool was_up = listed.counted;
  ring_.set_counted(slot, state == EndpointState::kUp);
  if (listed.endpoint != nullptr) {
    copy_description(listed);
  }
  return {.ring_position = ring_.ring_position(slot),
          .up_change = count_change(was_up, listed.counted),
          .restarted = false,
          .endpoint = listed.endpoint};
}

void EndpointRegistry::erase_removed_endpoints() {
  ring_.erase_if([this](const ListedEndpoint& listed) {
    if (listed.state != EndpointState::kRemoved || listed.endpoint != nullptr) {
      return false;
    }
    zones_.release(listed.zone);
    return true;
  });
}

void EndpointRegistry::erase(Ring::Slot slot) {
  zones_.release(ring_.at(slot).zone);
  ring_.erase(slot);
}

Endpoint& EndpointRegistry::start_use(std::uint64_t position, ListedEndpoint& listed) {
  Endpoint& endpoint = *in_use_.emplace_back(std::make_unique<Endpoint>());
  listed.endpoint = &endpoint;
  endpoint.entry.server = listed.name.view();
  endpoint.ring_position = position;
  copy_description(listed);
  return endpoint;
}

void EndpointRegistry::stop_use(const Endpoint& endpoint) {
  const Ring::Slot slot = ring_.find(endpoint.ring_position, endpoint.entry.server).slot;
  ListedEndpoint& listed = ring_.at(slot);
  listed.endpoint = nullptr;
  if (listed.state == EndpointState::kRemoved) {
    erase(slot);
  }
}

void EndpointRegistry::copy_description(const ListedEndpoint& listed) const {
  Endpoint& endpoint = *listed.endpoint;
  endpoint.is_up = listed.counted;
  endpoint.entry.state = listed.state;
  endpoint.entry.weight = listed.weight;
  endpoint.entry.started_at = listed.started_at;
  endpoint.entry.cell = listed.cell;
  endpoint.entry.zone = zones_[listed.zone];
}

}  // namespace quota_gateway::policy
