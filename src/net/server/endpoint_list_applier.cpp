#include "net/server/endpoint_list_applier.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace quota_gateway::net {
namespace {

// How long discovery may take to answer before the persisted list is used without it.
constexpr Micros kDiscoveryGrace = 500'000;

}  // namespace

EndpointListApplier::EndpointListApplier(EventLoop loop, ConnectionPool& pool, EventBatcher& events,
                                         EndpointList persisted, EndpointListCallbacks callbacks)
    : loop_(loop),
      pool_(pool),
      events_(events),
      callbacks_(std::move(callbacks)),
      persisted_(std::move(persisted)) {}

void EndpointListApplier::start() {
  loop_.timers.after(kDiscoveryGrace, [this] { apply_persisted_list(); });
}

void EndpointListApplier::on_discovery_list(EndpointList list) {
  enqueue(std::move(list), EndpointListUpdate::Kind::kPartial);
}

// Discovery counts its knowledge as delivered from our first call on, and the persisted list may
// name endpoints that have long been draining. So the persisted list is applied only once discovery
// answers, immediately before the changes, or after a grace time without an answer. Requests that
// arrive meanwhile are held as while no endpoint has capacity.
void EndpointListApplier::apply_persisted_list() {
  if (!persisted_) {
    return;
  }
  EndpointList list = std::move(*persisted_);
  persisted_.reset();
  enqueue(std::move(list), EndpointListUpdate::Kind::kPersisted);
}

void EndpointListApplier::enqueue(EndpointList list, EndpointListUpdate::Kind kind) {
  pool_.enqueue_list(std::move(list));
  if (!next_slice_posted_) {
    apply_slice(kind);
  }
}

// Applies one slice, and the next in a later turn of the loop. Without slices, a list of many
// thousand changes would delay every request; a small list fits one slice and is in force at once.
void EndpointListApplier::apply_slice(EndpointListUpdate::Kind kind) {
  next_slice_posted_ = false;
  EndpointListUpdate update;
  update.kind = kind;
  update.entries = pool_.apply().entries;
  if (!update.entries.empty()) {
    events_.push(std::move(update));
  }
  if (pool_.lists_applied()) {
    list_with_endpoints_applied_ = list_with_endpoints_applied_ || pool_.endpoint_count() > 0;
    callbacks_.on_list_applied();
  } else {
    next_slice_posted_ = true;
    boost::asio::post(loop_.io, [this] { apply_slice(EndpointListUpdate::Kind::kPartial); });
  }
  callbacks_.on_slice_applied();
}

bool EndpointListApplier::has_initial_list() const {
  return !persisted_ && !is_first_list_partial();
}

bool EndpointListApplier::is_ready() const {
  return pool_.has_endpoint_up() && has_initial_list();
}

// Without this, all gateways of a fleet that starts at once would send their requests to the few
// endpoints that are first in its list.
bool EndpointListApplier::requests_must_wait() const {
  const bool persisted_needs_slices =
      persisted_ && persisted_->endpoints.size() > EndpointTable::kMaxChangesPerSlice;
  return is_first_list_partial() || persisted_needs_slices;
}

bool EndpointListApplier::is_first_list_partial() const {
  return next_slice_posted_ && !list_with_endpoints_applied_;
}

}  // namespace quota_gateway::net
