#include "net/server/endpoint_list_applier.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace quota_gateway::net {
namespace {

// The persisted list is applied if discovery has not responded within this time.
constexpr Micros kDiscoveryTimeout = 500'000;

}  // namespace

EndpointListApplier::EndpointListApplier(EventLoop loop, ConnectionPool& pool, EventBatcher& events,
                                         EndpointList persisted, EndpointListCallbacks callbacks)
    : loop_(loop),
      pool_(pool),
      events_(events),
      callbacks_(std::move(callbacks)),
      persisted_(std::move(persisted)) {}

void EndpointListApplier::start() {
  loop_.timers.after(kDiscoveryTimeout, [this] { apply_persisted_list(); });
}

void EndpointListApplier::on_discovery_list(EndpointList list) {
  enqueue(std::move(list), EndpointListUpdate::Kind::kPartial);
}

// From the first request of the gateway on, discovery assumes that the gateway knows the current
// list, but the persisted list may contain endpoints that have been draining for a long time. The
// persisted list is therefore applied when discovery responds, immediately before the changes that
// it sends, or after kDiscoveryTimeout without a response. Requests that arrive earlier are held,
// as they are whenever no endpoint has capacity.
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

// Applies one slice and schedules the next one for a later turn of the event loop. A list of many
// thousand changes that is applied in one turn would delay every request; a small list fits into
// one slice and is in force immediately.
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
    boost::asio::post(loop_.io, [this] { apply_slice(EndpointListUpdate::Kind::kPartial); });
    next_slice_posted_ = true;
  }
  callbacks_.on_slice_applied();
}

bool EndpointListApplier::resume() {
  if (next_slice_posted_ || pool_.lists_applied()) {
    return false;
  }
  apply_slice(EndpointListUpdate::Kind::kPartial);
  return true;
}

bool EndpointListApplier::has_initial_list() const {
  return !persisted_ && !is_first_list_partial();
}

bool EndpointListApplier::is_ready() const {
  return pool_.has_endpoint_up() && has_initial_list();
}

// If requests were forwarded while only the first slices of the first list are applied, all
// gateways of a fleet that starts at the same time would send them to the same few endpoints, the
// first ones of the list.
bool EndpointListApplier::requests_must_wait() const {
  const bool persisted_needs_slices =
      persisted_ && persisted_->endpoints.size() > EndpointTable::kMaxChangesPerSlice;
  return is_first_list_partial() || persisted_needs_slices;
}

bool EndpointListApplier::is_first_list_partial() const {
  return next_slice_posted_ && !list_with_endpoints_applied_;
}

}  // namespace quota_gateway::net
