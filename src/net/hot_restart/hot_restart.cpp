#include "net/hot_restart/hot_restart.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <iostream>
#include <string_view>
#include <utility>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// One packet each. A later program that speaks otherwise names another number.
constexpr std::string_view kHello = "quota_gateway/1 ";
constexpr std::string_view kWelcome = "quota_gateway/1 welcome";
constexpr std::string_view kReady = "quota_gateway/1 ready";
constexpr std::size_t kMostPacket = 512;
constexpr auto kMeetWithin =
    std::chrono::milliseconds(500);       // at a start; then we listen on our own
constexpr Micros kGreetWithin = 500'000;  // us for a guest to say who it is
constexpr int kBacklog = 4;

class Handle {  // a descriptor of ours, until it is released
 public:
  explicit Handle(int fd) : fd_(fd) {}
  ~Handle() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;
  int get() const { return fd_; }
  int release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

bool fill(sockaddr_un& to, const std::string& path) {
  to = {};
  to.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof to.sun_path) {
    return false;
  }
  std::memcpy(to.sun_path, path.c_str(), path.size());
  return true;
}

int open_socket() {
  return ::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

const sockaddr* generic(const sockaddr_un& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

// Danger: whoever can write to the folder could hand us a socket, or take ours.
bool is_ours(int fd) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(fd, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::getuid();
}

bool listens_at(int fd, const tcp::endpoint& at) {
  int listens = 0;
  socklen_t size = sizeof listens;
  tcp::endpoint bound;
  socklen_t length = socklen_t(bound.capacity());
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) {
    return false;
  }
  if (::getsockname(fd, bound.data(), &length) != 0) {
    return false;
  }
  return bound == at;
}

bool say(int fd, std::string_view packet, int hand_over = -1) {
  iovec part{const_cast<char*>(packet.data()), packet.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  if (hand_over >= 0) {
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    cmsghdr* header = CMSG_FIRSTHDR(&message);
    header->cmsg_level = SOL_SOCKET;
    header->cmsg_type = SCM_RIGHTS;
    header->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(header), &hand_over, sizeof(int));
  }
  return ::sendmsg(fd, &message, MSG_NOSIGNAL) == ssize_t(packet.size());
}

struct Packet {
  bool over = false;  // the other side has gone; else nothing may be there yet
  std::string text;
  int handed = -1;  // the caller's to close
};

Packet hear(int fd) {
  std::array<char, kMostPacket> bytes;
  iovec part{bytes.data(), bytes.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const auto size = ::recvmsg(fd, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  Packet out;
  out.over = size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
  if (size > 0) {
    out.text.assign(bytes.data(), std::size_t(size));
  }
  for (cmsghdr* h = size > 0 ? CMSG_FIRSTHDR(&message) : nullptr; h; h = CMSG_NXTHDR(&message, h)) {
    if (h->cmsg_level == SOL_SOCKET && h->cmsg_type == SCM_RIGHTS) {
      std::memcpy(&out.handed, CMSG_DATA(h), sizeof(int));
    }
  }
  return out;
}

// Waits for what may never come.
Packet hear_within(int fd, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      return {true, {}, -1};
    }
    pollfd wait{fd, POLLIN, 0};
    if (::poll(&wait, 1, int(left.count()) + 1) < 0 && errno != EINTR) {
      return {true, {}, -1};
    }
    Packet packet = hear(fd);
    if (packet.over || !packet.text.empty()) {
      return packet;
    }
  }
}

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, Timers& timers, const std::string& folder,
                       const std::string& name, const tcp::endpoint& clients,
                       std::function<void()> changed)
    : io_(io),
      timers_(timers),
      path_(folder.empty() ? "" : folder + "/cottonroad.sock"),
      identity_(std::string(kHello) + name + ' ' + clients.address().to_string() + ':' +
                std::to_string(clients.port())),
      clients_(clients),
      changed_(std::move(changed)) {
  find_predecessor();
}

HotRestart::~HotRestart() {
  if (inherited_ >= 0) {
    ::close(inherited_);
  }
}

// Whatever is there, a socket that nobody serves, a file, a stranger or a process that dies midway,
// ends in a start on our own.
void HotRestart::find_predecessor() {
  sockaddr_un at;
  if (!fill(at, path_)) {
    return;
  }
  Handle link(open_socket());
  if (link.get() < 0 || ::connect(link.get(), generic(at), sizeof at) != 0) {
    return;
  }
  if (!is_ours(link.get()) || !say(link.get(), identity_)) {
    return;
  }
  const Packet answer = hear_within(link.get(), kMeetWithin);
  Handle handed(answer.handed);
  if (answer.text != kWelcome || handed.get() < 0 || !listens_at(handed.get(), clients_)) {
    std::cerr << "succession: what is at " << path_ << " hands over nothing\n";
    return;
  }
  inherited_ = handed.release();
  predecessor_ = std::make_unique<Descriptor>(io_, link.release());
  watch_predecessor();
}

void HotRestart::watch_predecessor() {
  predecessor_->async_wait(Descriptor::wait_read, [this](error_code ec) {
    if (ec || !predecessor_) {
      return;
    }
    const Packet packet = hear(predecessor_->native_handle());
    Handle unasked(packet.handed);
    if (!packet.over) {
      return watch_predecessor();
    }
    predecessor_.reset();
    changed_();
  });
}

std::optional<int> HotRestart::take_inherited_listener() {
  if (inherited_ < 0) {
    return std::nullopt;
  }
  return std::exchange(inherited_, -1);
}

void HotRestart::notify_parent_ready() {
  if (predecessor_) {
    say(predecessor_->native_handle(), kReady);
  }
}

// Danger: a name that is taken away before ours is there would leave a moment in which a new
// process finds nobody. So ours is made under another name and takes the place of whatever is
// there.
void HotRestart::listen_for_child(int listening) {
  listening_ = listening;
  sockaddr_un at;
  const std::string fresh = path_ + "." + std::to_string(::getpid());
  if (path_.empty()) {
    return;
  }
  Handle door(open_socket());
  if (fill(at, fresh)) {
    ::unlink(fresh.c_str());
    if (door.get() >= 0 && ::bind(door.get(), generic(at), sizeof at) == 0 &&
        ::listen(door.get(), kBacklog) == 0 && std::rename(fresh.c_str(), path_.c_str()) == 0) {
      door_ = std::make_unique<Descriptor>(io_, door.release());
      return accept();
    }
    ::unlink(fresh.c_str());
  }
  std::cerr << "succession: no socket at " << path_
            << "; a new process will have to listen beside us\n";
}

void HotRestart::accept() {
  door_->async_wait(Descriptor::wait_read, [this](error_code ec) {
    if (ec) {
      return;
    }
    Handle guest(::accept4(door_->native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (guest.get() >= 0 && is_ours(guest.get())) {
      greet(std::make_shared<Descriptor>(io_, guest.release()));
    }
    accept();
  });
}

void HotRestart::greet(std::shared_ptr<Descriptor> guest) {
  guest->async_wait(Descriptor::wait_read, [this, guest](error_code ec) {
    if (ec) {
      return;
    }
    const Packet packet = hear(guest->native_handle());
    Handle unasked(packet.handed);
    // One follows us at a time; another one, or who is not of this gateway, is not answered.
    if (packet.text != identity_ || successor_) {
      return;
    }
    // Told first: from the moment that it may serve, we are two.
    successor_ = std::make_unique<Descriptor>(io_, guest->release());
    changed_();
    if (successor_) {
      say(successor_->native_handle(), kWelcome, listening_);
    }
    if (successor_) {
      watch_successor();
    }
  });
  timers_.after(kGreetWithin, [weak = std::weak_ptr<Descriptor>(guest)] {
    error_code ignored;
    if (const auto silent = weak.lock(); silent && silent->is_open()) {
      silent->cancel(ignored);
    }
  });
}

void HotRestart::watch_successor() {
  successor_->async_wait(Descriptor::wait_read, [this](error_code ec) {
    if (ec || !successor_) {
      return;
    }
    const Packet packet = hear(successor_->native_handle());
    Handle unasked(packet.handed);
    if (packet.text == kReady) {
      taken_ = true;
    }
    if (packet.over) {
      successor_.reset();
      taken_ = false;
    }
    if (packet.over || packet.text == kReady) {
      changed_();
    }
    if (successor_) {
      watch_successor();
    }
  });
}

}  // namespace quota_gateway::net
