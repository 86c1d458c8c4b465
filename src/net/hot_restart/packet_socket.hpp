// Packets between two processes of the same user over a Unix socket, each with an optional file
// descriptor. Contains only the system calls; HotRestart owns the sockets and decides what is sent.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "net/system_call/owned_descriptor.hpp"

namespace quota_gateway::net {

struct Packet {
  // The other side has closed the connection, or the socket failed.
  bool is_end_of_stream = false;
  // Empty: no packet has arrived yet.
  std::string text;
  OwnedDescriptor descriptor;
};

// Connects to the socket that listens at `path`. The result is not open if nothing listens there,
// or if `path` is empty or too long for a socket address.
OwnedDescriptor connect_packet_socket(const std::string& path);

// Creates a socket that listens at `path`, in place of an existing file. The result is not open if
// that failed.
OwnedDescriptor listen_packet_socket(const std::string& path);

// Accepts the next connection. The result is not open if none is pending.
OwnedDescriptor accept_packet_socket(int listening_socket);

// Whether the process at the other end runs under the same user. If this were not checked, any
// process that can write to the directory could pass a socket to this process or receive its
// listening socket.
bool is_peer_same_user(int packet_socket);

// Whether `fd` is a socket that listens at `address`.
bool is_listening_at(int fd, const boost::asio::ip::tcp::endpoint& address);

// Sends a packet without blocking. If `descriptor` is given, the receiver gets a duplicate of it.
// Returns false if the packet was not sent.
bool send_packet(int packet_socket, std::string_view text,
                 std::optional<int> descriptor = std::nullopt);

// Receives a packet without blocking.
Packet receive_packet(int packet_socket);
// Blocks until a packet arrives or the connection ends. After `timeout`, returns a packet with
// `is_end_of_stream`.
Packet receive_packet_within(int packet_socket, std::chrono::milliseconds timeout);

}  // namespace quota_gateway::net
