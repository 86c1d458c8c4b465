// Packets between two processes of one user over a Unix socket, each with or without a file
// descriptor. Only the system calls; HotRestart, which owns the sockets, decides what is sent.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace quota_gateway::net {

// Closes the descriptor that it owns, if any.
class OwnedDescriptor {
 public:
  OwnedDescriptor() = default;
  explicit OwnedDescriptor(int fd) : fd_(fd) {}
  OwnedDescriptor(OwnedDescriptor&& other) noexcept : fd_(other.release()) {}
  OwnedDescriptor& operator=(OwnedDescriptor&& other) noexcept;
  OwnedDescriptor(const OwnedDescriptor&) = delete;
  OwnedDescriptor& operator=(const OwnedDescriptor&) = delete;
  ~OwnedDescriptor();

  bool is_open() const { return fd_ >= 0; }
  // -1 if there is none, as for the system calls.
  int get() const { return fd_; }
  // The caller closes it.
  int release();

 private:
  int fd_ = -1;
};

struct Packet {
  // The other side has closed its end, or the socket failed.
  bool is_end = false;
  // Empty: none has arrived yet.
  std::string text;
  OwnedDescriptor descriptor;
};

// A socket connected to the one that listens at `path`. Not open: nothing listens there, or `path`
// is empty or too long for a socket.
OwnedDescriptor connect_packet_socket(const std::string& path);

// A socket that listens at `path` in place of whatever is there. Not open: that failed.
OwnedDescriptor listen_packet_socket(const std::string& path);

// The next connection of a listening socket. Not open: there is none.
OwnedDescriptor accept_packet_socket(int listening_socket);

// Whether the process at the other end runs under our user. Without this check, whoever can write
// to the directory could pass a socket to us, or get ours.
bool is_peer_same_user(int packet_socket);

// Whether `fd` is a socket that listens at `address`.
bool is_listening_at(int fd, const boost::asio::ip::tcp::endpoint& address);

// Never waits. With `descriptor`, the receiver gets a duplicate of it. False: it was not sent.
bool send_packet(int packet_socket, std::string_view text,
                 std::optional<int> descriptor = std::nullopt);

// Never waits.
Packet receive_packet(int packet_socket);
// Blocks until a packet or the end arrives. After `timeout` returns an end.
Packet receive_packet_within(int packet_socket, std::chrono::milliseconds timeout);

}  // namespace quota_gateway::net
