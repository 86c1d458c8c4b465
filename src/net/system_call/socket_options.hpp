// Options of connected TCP sockets whose failure must not last: the system may refuse to set an
// option for a moment (ENOBUFS).
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace quota_gateway::net {

// TCP_NODELAY of one socket. Without it the system holds back a small write until the peer has
// acknowledged the one before, and a reset discards it.
class NoDelayOption {
 public:
  // Sets the option if it is not set yet. Call it before each write: a later call makes up for one
  // that failed.
  void ensure_set(boost::asio::ip::tcp::socket& socket);
  // The next call of ensure_set() is for another socket.
  void on_new_socket() { is_set_ = false; }

 private:
  bool is_set_ = false;
};

// Makes the system acknowledge at once what it has received (TCP_QUICKACK), and not up to 40 ms
// later with the next bytes to the peer. Holds for now only: call it after each read that matters.
void acknowledge_received(boost::asio::ip::tcp::socket& socket);

// Sets the size of the receive buffer (SO_RCVBUF) of connections that are accepted from now on. The
// system may allow less. Repeats a call that fails, some times. Returns whether the option is set.
bool set_receive_buffer(boost::asio::ip::tcp::acceptor& acceptor, int bytes);

// Makes the next close() reset the connection (SO_LINGER with a time of 0). Repeats a call that
// fails, some times. Returns whether the option is set.
bool set_reset_on_close(boost::asio::ip::tcp::socket& socket);

}  // namespace quota_gateway::net
