// Applies endpoint lists in slices: first the persisted list of the configuration, then the lists
// that discovery sends. Decides whether the gateway is ready and whether requests must wait while
// the first list is applied. Owned by GatewayServer; the endpoints themselves are in the table of
// ConnectionPool.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "net/discovery/endpoint_list_parser.hpp"
#include "net/event_loop/event_loop.hpp"
#include "net/server/event_batcher.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Called in the turn of the event loop that applies a slice, `on_list_applied` before
// `on_slice_applied`.
struct EndpointListCallbacks {
  // All lists received so far are completely applied.
  std::function<void()> on_list_applied;
  // One slice is applied.
  std::function<void()> on_slice_applied;
};

class EndpointListApplier {
 public:
  EndpointListApplier(EventLoop loop, ConnectionPool& pool, EventBatcher& events,
                      EndpointList persisted, EndpointListCallbacks callbacks);

  // Applies the persisted list if discovery does not respond in time.
  void start();
  // Handles a complete list or a list of changes from discovery. Applies its first slice
  // immediately unless an earlier list is still being applied.
  void on_discovery_list(EndpointList list);
  // Applies the persisted list at the first call; later calls have no effect.
  void apply_persisted_list();

  // The revision of the persisted list. Must not be called once that list has been applied.
  std::int64_t persisted_revision() const { return persisted_->revision; }
  // Whether discovery has responded or the time to wait for it is over, and the first list is
  // completely applied.
  bool has_initial_list() const;
  // Whether has_initial_list() is true and at least one endpoint is up.
  bool is_ready() const;
  // Whether arriving requests must be held until on_list_applied is called.
  bool requests_must_wait() const;

  // Applies the rest of the pending lists if an exception has interrupted that. Returns whether it
  // had.
  bool resume();

 private:
  void enqueue(EndpointList list, EndpointListUpdate::Kind kind);
  void apply_slice(EndpointListUpdate::Kind kind);
  bool is_first_list_partial() const;

  EventLoop loop_;
  ConnectionPool& pool_;
  EventBatcher& events_;
  EndpointListCallbacks callbacks_;
  std::optional<EndpointList> persisted_;  // none once it is applied
  bool next_slice_posted_ = false;
  bool list_with_endpoints_applied_ = false;
};

}  // namespace quota_gateway::net
