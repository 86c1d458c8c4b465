// How the old and the new process of one gateway meet, by a socket in the folder that they share.
// The old one hands over the very socket on which clients connect, so that no connection falls
// between them; each then holds the link until the other has gone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

class HotRestart {
 public:
  // `folder` empty: no process is looked for, and none can follow. `changed` follows each change of
  // what predecessor(), successor() and taken() tell, never from within the constructor.
  HotRestart(boost::asio::io_context& io, Timers& timers, const std::string& folder,
             const std::string& name, const boost::asio::ip::tcp::endpoint& clients,
             std::function<void()> changed);
  ~HotRestart();

  // The predecessor's listening socket, once; -1: there is none. Whoever takes it closes it.
  std::optional<int> take_inherited_listener();
  // From now on a new process finds us, and is given `listening`.
  void listen_for_child(int listening);
  // The predecessor may leave new clients to us.
  void notify_parent_ready();

  bool has_parent() const { return bool(predecessor_); }
  bool has_child() const { return bool(successor_); }
  // A successor takes the new clients.
  bool child_accepting() const { return taken_; }

 private:
  using Descriptor = boost::asio::posix::stream_descriptor;
  using Link = std::unique_ptr<Descriptor>;
  void find_predecessor();
  void watch_predecessor();
  void accept();
  void greet(std::shared_ptr<Descriptor> guest);
  void watch_successor();

  boost::asio::io_context& io_;
  Timers& timers_;
  const std::string path_, identity_;
  const boost::asio::ip::tcp::endpoint clients_;
  std::function<void()> changed_;
  int inherited_ = -1;  // a listening socket that nobody has taken yet
  int listening_ = -1;  // of the clients; not ours
  std::unique_ptr<Descriptor> door_;
  Link predecessor_, successor_;
  bool taken_ = false;
};

}  // namespace quota_gateway::net
