// Puts endpoint lists in force slice by slice: first the persisted list that the gateway was
// configured with, then what discovery sends. Decides what may be done while no list is completely
// in force. Owned by GatewayServer; the lists themselves are in the ConnectionPool's table.
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

// Called from within a turn that applies a slice, `on_list_applied` before `on_slice_applied`.
struct EndpointListCallbacks {
  // All lists that have arrived are completely in force.
  std::function<void()> on_list_applied;
  std::function<void()> on_slice_applied;
};

class EndpointListApplier {
 public:
  EndpointListApplier(EventLoop loop, ConnectionPool& pool, EventBatcher& events,
                      EndpointList persisted, EndpointListCallbacks callbacks);

  // Applies the persisted list if discovery doesn't answer in time.
  void start();
  // A list, or changes to one, from discovery. Applies the first slice at once unless an earlier
  // list is still being applied.
  void on_discovery_list(EndpointList list);
  // Applies the persisted list, once. Does nothing if that is done.
  void apply_persisted_list();

  // Of the persisted list; only until it is applied.
  std::int64_t persisted_revision() const { return persisted_->revision; }
  // Discovery has answered or has had its time, and the first list is completely in force.
  bool has_initial_list() const;
  // And an endpoint of it is up.
  bool is_ready() const;
  // Arriving requests must wait for on_list_applied.
  bool requests_must_wait() const;

 private:
  void enqueue(EndpointList list, EndpointListUpdate::Kind kind);
  void apply_slice(EndpointListUpdate::Kind kind);
  bool is_first_list_partial() const;

  EventLoop loop_;
  ConnectionPool& pool_;
  EventBatcher& events_;
  EndpointListCallbacks callbacks_;
  std::optional<EndpointList> persisted_;  // until it is applied
  bool next_slice_posted_ = false;
  bool list_with_endpoints_applied_ = false;
};

}  // namespace quota_gateway::net
