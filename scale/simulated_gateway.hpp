// A simulated gateway: the real decision module with the real clients of discovery and of the
// counter, but without sockets to clients and servers. A RequestGenerator replaces the clients, and
// a timer ends each attempt. Thousands of simulated gateways fit in one process.
//
// Like src/net/server in the real gateway, it passes events to the module in batches and performs
// the module's actions. Owned by a SimulatedGatewayGroup; all calls are made on its event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet_options.hpp"
#include "fleet_state.hpp"
#include "list_progress.hpp"
#include "net/counter/counter_client.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/discovery/endpoint_table.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/gateway.hpp"
#include "request_generator.hpp"

namespace quota_gateway::scale {

// Must not be destroyed before its event loop ends, because handlers of its timers and clients
// refer to it.
class SimulatedGateway {
 public:
  // Keeps a reference to the options. Starts immediately.
  SimulatedGateway(boost::asio::io_context& io, const FleetOptions& options, std::size_t index);

  void set_request_rate(double requests_per_s) { requests_.set_rate(requests_per_s); }
  // See ListProgress::expect().
  void expect(std::shared_ptr<const UpServers> expected);
  GatewayState state() const;
  const ListProgress& list_progress() const { return progress_; }

 private:
  struct OpenRequest {
    int attempts = 0;
  };

  static Settings settings_of(const FleetOptions& options, std::size_t index);

  void use_persisted_list();
  void on_list(net::EndpointList list, EndpointListUpdate::Kind kind);
  void apply_next_slice(EndpointListUpdate::Kind kind);
  void check_lists_applied();

  void on_request_due();
  void end_attempt(const std::string& id, int attempt, const std::string& server, Outcome outcome,
                   Micros duration);
  void on_counter_reply(const CounterReply& reply);

  void push(Event event);
  void handle_events();
  void perform(const SendAttempt& action);
  void perform(const CancelAttempt& action);
  void perform(const Reject& action);
  void perform(const Fail& action);
  void perform(const SetTimer& action);
  void perform(const AddToCounter& action);
  // Health checks are not sent and log lines are not written in the simulation.
  static void perform(const SendHealthCheck&) {}
  static void perform(const LogLine&) {}

  boost::asio::io_context& io_;
  const FleetOptions& options_;
  std::mt19937_64 random_;
  net::Clock clock_;
  net::Timers timers_;
  Gateway module_;
  // Null after it has been used.
  std::shared_ptr<const net::EndpointList> persisted_list_;
  net::EndpointTable endpoint_table_;
  bool is_applying_lists_ = false;
  ListProgress progress_;
  RequestGenerator requests_;
  std::unordered_map<std::string, OpenRequest> open_requests_;
  std::vector<Event> events_;
  bool has_scheduled_events_ = false;
  GatewayTotals totals_;
  // Null if there is no counter.
  std::shared_ptr<net::CounterClient> counter_;
  net::DiscoveryClient discovery_;
};

}  // namespace quota_gateway::scale
