// The link between two processes of one gateway during a hot restart: the parent, which serves
// clients, and the child, which replaces it. The child finds the parent through a Unix socket in a
// shared directory. The parent passes its listening socket to the child, so that no client
// connection is lost during the handover. Each process keeps the link open; a link that closes
// shows that the other process has ended.
//
// Owned by HandoverCoordinator, which decides how to react to each change. A process may be the
// child of an older process and the parent of a newer one at the same time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/event_loop/timers.hpp"
#include "net/hot_restart/packet_socket.hpp"

namespace quota_gateway::net {

class HotRestart {
 public:
  // Looks for a parent, which may block for up to 0.5 s. If `directory` is empty, hot restart is
  // disabled and there is neither a parent nor a child. Processes belong to the same gateway if
  // they have the same directory, `gateway_name` and `client_address`, the address that clients
  // connect to. `on_change` is called from the event loop, never from within the constructor, after
  // each change of has_parent(), has_child() or child_accepting().
  HotRestart(boost::asio::io_context& io, Timers& timers, const std::string& directory,
             const std::string& gateway_name, const boost::asio::ip::tcp::endpoint& client_address,
             std::function<void()> on_change);

  // Returns the parent's listening socket; the caller must close it. None: there is no parent, or
  // the socket was returned by an earlier call.
  std::optional<int> take_inherited_listener();
  // Lets a child find this process and receive `listening_socket`, which must stay open for the
  // lifetime of this object. If the socket in the directory cannot be created, logs that; no child
  // can be found then.
  void listen_for_child(int listening_socket);
  // Notifies the parent, if any, that this process accepts new clients in its place.
  void notify_parent_ready();

  bool has_parent() const { return bool(parent_); }
  bool has_child() const { return bool(child_); }
  // Whether the child accepts new clients; this process must not accept any then.
  bool child_accepting() const { return child_accepting_; }

 private:
  using Descriptor = boost::asio::posix::stream_descriptor;

  // Returns the descriptor as one that the event loop watches, or null if that failed.
  std::unique_ptr<Descriptor> watched(OwnedDescriptor descriptor);
  void find_parent();
  void watch_parent();
  void accept_child();
  void await_child_identity(const std::shared_ptr<Descriptor>& candidate);
  void on_child_identity(Descriptor& candidate);
  void watch_child();
  void on_child_packet();

  boost::asio::io_context& io_;
  Timers& timers_;
  const std::string socket_path_;  // empty: hot restart is disabled
  const std::string identity_packet_;
  const boost::asio::ip::tcp::endpoint client_address_;
  std::function<void()> on_change_;

  OwnedDescriptor inherited_listener_;   // open until take_inherited_listener()
  std::optional<int> listening_socket_;  // for clients; not owned
  std::unique_ptr<Descriptor> child_acceptor_;
  std::unique_ptr<Descriptor> parent_;
  std::unique_ptr<Descriptor> child_;
  bool child_accepting_ = false;
};

}  // namespace quota_gateway::net
