// The link between two processes of one gateway: the parent, which serves, and the child, which
// replaces it. They find each other through a socket in the directory that they share. The parent
// passes its listening socket to the child, so that no client connection is lost between them. Each
// keeps the link open until the other process has ended.
//
// HandoverCoordinator owns it and decides what to do at each change. A process may be the child of
// an older one and the parent of a younger one at once.
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
  // Looks for a parent, which may block for up to 0.5 s. With an empty `directory` there is neither
  // a parent nor a child. Processes belong together if they have the directory, `gateway_name` and
  // `client_address`, on which clients connect, in common. `on_change` follows each change of
  // has_parent(), has_child() and child_accepting(), from the event loop, never from within the
  // constructor.
  HotRestart(boost::asio::io_context& io, Timers& timers, const std::string& directory,
             const std::string& gateway_name, const boost::asio::ip::tcp::endpoint& client_address,
             std::function<void()> on_change);

  // The parent's listening socket, at the first call after a parent was found. The caller closes
  // it.
  std::optional<int> take_inherited_listener();
  // From now on a child can find this process and receives `listening_socket`, which must stay open
  // as long as this object lives. If the directory can't be used, logs that, and there is no child.
  void listen_for_child(int listening_socket);
  // Notifies the parent, if any, that this process accepts new clients in its place.
  void notify_parent_ready();

  bool has_parent() const { return bool(parent_); }
  bool has_child() const { return bool(child_); }
  // The child accepts new clients, so that this process must not.
  bool child_accepting() const { return child_accepting_; }

 private:
  using Descriptor = boost::asio::posix::stream_descriptor;

  void find_parent();
  void watch_parent();
  void accept_child();
  void greet_child(const std::shared_ptr<Descriptor>& candidate);
  void on_child_identity(Descriptor& candidate);
  void watch_child();
  void on_child_packet();

  boost::asio::io_context& io_;
  Timers& timers_;
  const std::string socket_path_;  // empty: no hot restart
  const std::string identity_packet_;
  const boost::asio::ip::tcp::endpoint client_address_;
  std::function<void()> on_change_;

  OwnedDescriptor inherited_listener_;   // until take_inherited_listener()
  std::optional<int> listening_socket_;  // for clients; not owned
  std::unique_ptr<Descriptor> child_acceptor_;
  std::unique_ptr<Descriptor> parent_;
  std::unique_ptr<Descriptor> child_;
  bool child_accepting_ = false;
};

}  // namespace quota_gateway::net
