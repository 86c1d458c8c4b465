#include "net/server/handover_coordinator.hpp"

#include <algorithm>
#include <iostream>

namespace quota_gateway::net {
namespace {

constexpr Micros kListenRetryDelay = 50'000;  // us

}  // namespace

HandoverCoordinator::HandoverCoordinator(EventLoop loop, const GatewayConfig& config,
                                         Collaborators collaborators, std::size_t max_connections)
    : loop_(loop),
      pool_(collaborators.pool),
      clients_(collaborators.clients),
      memory_(collaborators.memory),
      events_(collaborators.events),
      endpoint_lists_(collaborators.endpoint_lists),
      listen_address_(config.listen_address),
      max_connections_(max_connections),
      hot_restart_(loop.io, loop.timers, config.hot_restart_directory, config.name,
                   config.listen_address, [this] { on_processes_changed(); }) {}

void HandoverCoordinator::start() {
  if (hot_restart_.has_parent()) {
    clients_.adopt(listen_address_, hot_restart_.take_inherited_listener().value_or(-1));
    on_listening();
  } else {
    listen();
  }
}

// While a gateway is restarted, its port may be taken for a moment, for example by a connection of
// another process to which the system has given this port.
void HandoverCoordinator::listen() {
  const boost::system::error_code ec = clients_.listen(listen_address_);
  if (!ec) {
    return on_listening();
  }
  if (listen_log_limit_.try_log(loop_.clock.now())) {
    std::cerr << "clients: cannot listen at " << listen_address_ << ": " << ec.message()
              << "; trying again\n";
  }
  loop_.timers.after(kListenRetryDelay, [this] { listen(); });
}

void HandoverCoordinator::on_listening() {
  hot_restart_.listen_for_child(clients_.listening_socket());
  on_processes_changed();
}

void HandoverCoordinator::on_processes_changed() {
  const int peer_count = int(hot_restart_.has_parent()) + int(hot_restart_.has_child());
  if (peer_count != peer_count_) {
    peer_count_ = peer_count;
    std::cerr << "hot restart: " << peer_count << " other processes\n";
    events_.push(PeerProcessesChanged{peer_count});
  }
  // The limits apply to the gateway, so its processes share them.
  const std::size_t process_count = std::size_t{1} + std::size_t(peer_count);
  pool_.set_max_connections(std::max<std::size_t>(1, max_connections_ / process_count));
  memory_.share_among(process_count);
  if (hot_restart_.child_accepting()) {
    clients_.hand_over_new_clients();
  } else if (hot_restart_.has_parent()) {
    replace_parent_if_ready();
  } else if (!clients_.is_accepting()) {
    clients_.start_accepting();
  }
}

// The parent continues to accept new clients until this process is ready.
void HandoverCoordinator::replace_parent_if_ready() {
  if (!hot_restart_.has_parent() || clients_.is_accepting() || hot_restart_.child_accepting() ||
      !endpoint_lists_.is_ready()) {
    return;
  }
  clients_.start_accepting();
  hot_restart_.notify_parent_ready();
}

}  // namespace quota_gateway::net
