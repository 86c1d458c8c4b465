#include "net/hot_restart/packet_socket.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "net/system_call/interrupted_call.hpp"

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kMaxPacketSize = 512;  // bytes
constexpr int kListenBacklog = 4;

// Control message buffer for the one descriptor that a packet may carry.
struct ControlBuffer {
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> bytes{};
};

std::optional<sockaddr_un> unix_address(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) {
    return std::nullopt;
  }
  std::memcpy(address.sun_path, path.c_str(), path.size());
  return address;
}

const sockaddr* generic_address(const sockaddr_un& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

OwnedDescriptor open_packet_socket() {
  return OwnedDescriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

OwnedDescriptor extract_descriptor(msghdr& message) {
  OwnedDescriptor extracted;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header; header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level == SOL_SOCKET && header->cmsg_type == SCM_RIGHTS) {
      int fd = -1;
      std::memcpy(&fd, CMSG_DATA(header), sizeof fd);
      extracted = OwnedDescriptor(fd);
    }
  }
  return extracted;
}

Packet end_of_stream_packet() {
  Packet packet;
  packet.is_end_of_stream = true;
  return packet;
}

}  // namespace

OwnedDescriptor connect_packet_socket(const std::string& path) {
  const std::optional<sockaddr_un> address = unix_address(path);
  if (!address) {
    return {};
  }
  OwnedDescriptor connected = open_packet_socket();
  const auto connect = [&] {
    return ::connect(connected.get(), generic_address(*address), sizeof *address);
  };
  if (!connected.is_open() || repeat_if_interrupted(connect) != 0) {
    return {};
  }
  return connected;
}

// Binds to a temporary path and renames it to `path`, which replaces an existing file atomically.
// If `path` were removed and then bound, a process that starts in between would find no parent.
OwnedDescriptor listen_packet_socket(const std::string& path) {
  const std::string temporary_path = path + "." + std::to_string(::getpid());
  OwnedDescriptor listening = open_packet_socket();
  const std::optional<sockaddr_un> address = unix_address(temporary_path);
  if (!address) {
    return {};
  }
  ::unlink(temporary_path.c_str());
  if (listening.is_open() &&
      ::bind(listening.get(), generic_address(*address), sizeof *address) == 0 &&
      ::listen(listening.get(), kListenBacklog) == 0 &&
      std::rename(temporary_path.c_str(), path.c_str()) == 0) {
    return listening;
  }
  ::unlink(temporary_path.c_str());
  return {};
}

OwnedDescriptor accept_packet_socket(int listening_socket) {
  return OwnedDescriptor(repeat_if_interrupted(
      [&] { return ::accept4(listening_socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); }));
}

bool is_peer_same_user(int packet_socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(packet_socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == ::getuid();
}

bool is_listening_at(int fd, const tcp::endpoint& address) {
  int listens = 0;
  socklen_t listens_size = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_size) != 0 || listens == 0) {
    return false;
  }
  tcp::endpoint bound;
  auto bound_size = socklen_t(bound.capacity());
  if (::getsockname(fd, bound.data(), &bound_size) != 0) {
    return false;
  }
  return bound == address;
}

bool send_packet(int packet_socket, std::string_view text, std::optional<int> descriptor) {
  iovec content{const_cast<char*>(text.data()), text.size()};
  msghdr message{};
  message.msg_iov = &content;
  message.msg_iovlen = 1;
  ControlBuffer control;
  if (descriptor) {
    message.msg_control = control.bytes.data();
    message.msg_controllen = control.bytes.size();
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &*descriptor, sizeof(int));
  }
  return repeat_if_interrupted([&] { return ::sendmsg(packet_socket, &message, MSG_NOSIGNAL); }) ==
         ssize_t(text.size());
}

Packet receive_packet(int packet_socket) {
  std::array<char, kMaxPacketSize> bytes;
  iovec content{bytes.data(), bytes.size()};
  ControlBuffer control;
  msghdr message{};
  message.msg_iov = &content;
  message.msg_iovlen = 1;
  message.msg_control = control.bytes.data();
  message.msg_controllen = control.bytes.size();
  const auto size = repeat_if_interrupted(
      [&] { return ::recvmsg(packet_socket, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC); });
  Packet packet;
  packet.is_end_of_stream = size == 0 || (size < 0 && errno != EAGAIN);
  if (size > 0) {
    packet.text.assign(bytes.data(), std::size_t(size));
    packet.descriptor = extract_descriptor(message);
  }
  return packet;
}

Packet receive_packet_within(int packet_socket, std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (remaining.count() <= 0) {
      return end_of_stream_packet();
    }
    pollfd readable{packet_socket, POLLIN, 0};
    if (::poll(&readable, 1, int(remaining.count()) + 1) < 0 && errno != EINTR) {
      return end_of_stream_packet();
    }
    Packet packet = receive_packet(packet_socket);
    if (packet.is_end_of_stream || !packet.text.empty()) {
      return packet;
    }
  }
}

}  // namespace quota_gateway::net
