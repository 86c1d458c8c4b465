// A library that is loaded into a gateway process (LD_PRELOAD) and makes system calls on its TCP
// sockets fail, or do less than they were asked to, in ways that Linux documents.
//
// SYSTEM_CALL_FAULTS names the faults and the share of calls that each affects, from 0 to 1, and a
// seed, as in "seed=7 short_send=0.1 interrupted=0.02".
#include <dlfcn.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdlib>
#include <initializer_list>
#include <random>
#include <string>
#include <vector>

namespace {

// How long a process may be held up between two steps.
constexpr unsigned kHoldTimeUs = 150'000;

// The share of calls that each fault affects.
struct FaultRates {
  double short_send = 0;     // send takes a part of the bytes
  double short_receive = 0;  // recv returns a part of the bytes that are there
  double interrupted = 0;    // send, recv, poll, accept and epoll_wait return EINTR
  double no_memory = 0;      // send returns ENOBUFS, recv ENOMEM
  double setup = 0;          // socket, connect, accept and setsockopt fail for a moment
  double options = 0;        // setsockopt fails for a moment
  double query = 0;          // poll, getsockopt and shutdown fail for a moment
  double epoll = 0;          // epoll_ctl does not add or change a socket
  double held_close = 0;     // shutdown and close of an accepted connection begin late
  double broken = 0;         // send and recv of connections to servers: ETIMEDOUT, EHOSTUNREACH
};

class Faults {
 public:
  Faults() {
    if (const char* text = std::getenv("SYSTEM_CALL_FAULTS")) {
      parse(text);
    }
  }

  const FaultRates& rates() const { return rates_; }
  bool occurs(double rate) {
    return rate > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < rate;
  }
  // Returns a size below `size`, which must be above 1.
  std::size_t part_of(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(1, size - 1)(random_);
  }
  int one_of(std::initializer_list<int> errors) {
    return errors
        .begin()[std::uniform_int_distribution<std::size_t>(0, errors.size() - 1)(random_)];
  }

 private:
  void parse(const std::string& text) {
    random_.seed(unsigned(value_of(text, "seed")));
    rates_.short_send = value_of(text, "short_send");
    rates_.short_receive = value_of(text, "short_receive");
    rates_.interrupted = value_of(text, "interrupted");
    rates_.no_memory = value_of(text, "no_memory");
    rates_.setup = value_of(text, "setup");
    rates_.options = value_of(text, "options");
    rates_.query = value_of(text, "query");
    rates_.epoll = value_of(text, "epoll");
    rates_.held_close = value_of(text, "held_close");
    rates_.broken = value_of(text, "broken");
  }

  static double value_of(const std::string& text, const std::string& name) {
    const std::size_t at = (" " + text).find(" " + name + "=");
    return at == std::string::npos ? 0 : std::atof(text.c_str() + at + name.size() + 1);
  }

  FaultRates rates_;
  std::mt19937 random_;
};

Faults& faults() {
  static Faults instance;
  return instance;
}

template <typename Function>
Function* real(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

int real_getsockopt(int fd, int level, int option, void* value, socklen_t* size) {
  static auto* const next = real<decltype(::getsockopt)>("getsockopt");
  return next(fd, level, option, value, size);
}

// Returns the domain of a socket, or AF_UNSPEC if the descriptor is no socket.
int domain_of(int fd) {
  int domain = AF_UNSPEC;
  socklen_t size = sizeof domain;
  return real_getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 ? domain : AF_UNSPEC;
}

bool is_tcp(int fd) {
  return domain_of(fd) == AF_INET;
}

int fail_with(int error) {
  errno = error;
  return -1;
}

// Which descriptors are sockets that the process has connected.
std::vector<bool>& connected() {
  constexpr std::size_t kMaxDescriptors = 1 << 16;
  static std::vector<bool> instance(kMaxDescriptors);
  return instance;
}

// Returns whether a transfer on the socket fails, with errno set.
bool transfer_fails(int fd, bool is_send) {
  const FaultRates& rates = faults().rates();
  int error = 0;
  if (faults().occurs(rates.interrupted)) {
    error = EINTR;
  } else if (faults().occurs(rates.no_memory)) {
    error = is_send ? ENOBUFS : ENOMEM;
  } else if (faults().occurs(rates.broken) && connected().at(std::size_t(fd))) {
    error = faults().one_of({ETIMEDOUT, EHOSTUNREACH});
  }
  if (error == 0 || !is_tcp(fd)) {
    return false;
  }
  errno = error;
  return true;
}

std::size_t limited(int fd, std::size_t size, double rate) {
  return size > 1 && faults().occurs(rate) && is_tcp(fd) ? faults().part_of(size) : size;
}

std::size_t total_size(const msghdr& message) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < message.msg_iovlen; ++i) {
    size += message.msg_iov[i].iov_len;
  }
  return size;
}

// The parts of a message up to a total size.
std::vector<iovec> first_parts(const msghdr& message, std::size_t size) {
  std::vector<iovec> parts;
  for (std::size_t i = 0; i < message.msg_iovlen && size > 0; ++i) {
    const std::size_t length = std::min(size, message.msg_iov[i].iov_len);
    parts.push_back({message.msg_iov[i].iov_base, length});
    size -= length;
  }
  return parts;
}

bool setup_fails(int fd, double rate, std::initializer_list<int> errors) {
  if (!faults().occurs(rate) || (fd >= 0 && !is_tcp(fd))) {
    return false;
  }
  errno = faults().one_of(errors);
  return true;
}

// Delays the end of an accepted connection, as by a process that is held up before the call.
void hold_up_close(int fd) {
  if (faults().occurs(faults().rates().held_close) && is_tcp(fd) &&
      !connected().at(std::size_t(fd))) {
    ::usleep(kHoldTimeUs);
  }
}

}  // namespace

extern "C" {

ssize_t send(int fd, const void* bytes, std::size_t size, int flags) {
  static auto* const next = real<decltype(::send)>("send");
  if (transfer_fails(fd, true)) {
    return -1;
  }
  return next(fd, bytes, limited(fd, size, faults().rates().short_send), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static auto* const next = real<decltype(::sendmsg)>("sendmsg");
  if (transfer_fails(fd, true)) {
    return -1;
  }
  const std::size_t size = total_size(*message);
  std::vector<iovec> parts = first_parts(*message, limited(fd, size, faults().rates().short_send));
  msghdr shortened = *message;
  shortened.msg_iov = parts.data();
  shortened.msg_iovlen = parts.size();
  return next(fd, &shortened, flags);
}

ssize_t recv(int fd, void* bytes, std::size_t size, int flags) {
  static auto* const next = real<decltype(::recv)>("recv");
  if (transfer_fails(fd, false)) {
    return -1;
  }
  // A part of what is there: of a large buffer most parts would be all.
  constexpr std::size_t kMaxPart = 256;
  const bool is_short = faults().occurs(faults().rates().short_receive) && is_tcp(fd);
  return next(fd, bytes, is_short ? std::min(size, faults().part_of(kMaxPart)) : size, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static auto* const next = real<decltype(::recvmsg)>("recvmsg");
  return transfer_fails(fd, false) ? -1 : next(fd, message, flags);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static auto* const next = real<decltype(::poll)>("poll");
  if (faults().occurs(faults().rates().interrupted)) {
    return fail_with(EINTR);
  }
  if (faults().occurs(faults().rates().query)) {
    return fail_with(ENOMEM);
  }
  return next(descriptors, count, timeout);
}

int epoll_wait(int fd, epoll_event* events, int count, int timeout) {
  static auto* const next = real<decltype(::epoll_wait)>("epoll_wait");
  return faults().occurs(faults().rates().interrupted) ? fail_with(EINTR)
                                                       : next(fd, events, count, timeout);
}

int epoll_ctl(int epoll_fd, int operation, int fd, epoll_event* event) noexcept {
  static auto* const next = real<decltype(::epoll_ctl)>("epoll_ctl");
  const bool may_fail = operation != EPOLL_CTL_DEL && domain_of(fd) != AF_UNSPEC;
  if (may_fail && faults().occurs(faults().rates().epoll)) {
    return fail_with(faults().one_of({ENOMEM, ENOSPC}));
  }
  return next(epoll_fd, operation, fd, event);
}

int accept(int fd, sockaddr* address, socklen_t* size) {
  static auto* const next = real<decltype(::accept)>("accept");
  if (faults().occurs(faults().rates().interrupted)) {
    return fail_with(EINTR);
  }
  if (setup_fails(fd, faults().rates().setup, {ECONNABORTED, ENFILE, ENOBUFS})) {
    return -1;
  }
  const int accepted = next(fd, address, size);
  if (accepted >= 0) {
    connected().at(std::size_t(accepted)) = false;
  }
  return accepted;
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static auto* const next = real<decltype(::connect)>("connect");
  if (setup_fails(fd, faults().rates().setup, {EADDRNOTAVAIL, ENETUNREACH})) {
    return -1;
  }
  connected().at(std::size_t(fd)) = true;
  return next(fd, address, size);
}

int socket(int domain, int type, int protocol) {
  static auto* const next = real<decltype(::socket)>("socket");
  return domain == AF_INET && setup_fails(-1, faults().rates().setup, {ENFILE, ENOBUFS})
             ? -1
             : next(domain, type, protocol);
}

int setsockopt(int fd, int level, int option, const void* value, socklen_t size) noexcept {
  static auto* const next = real<decltype(::setsockopt)>("setsockopt");
  const double rate = std::max(faults().rates().setup, faults().rates().options);
  return setup_fails(fd, rate, {ENOBUFS}) ? -1 : next(fd, level, option, value, size);
}

int getsockopt(int fd, int level, int option, void* value, socklen_t* size) noexcept {
  return setup_fails(fd, faults().rates().query, {ENOBUFS})
             ? -1
             : real_getsockopt(fd, level, option, value, size);
}

int shutdown(int fd, int how) noexcept {
  static auto* const next = real<decltype(::shutdown)>("shutdown");
  hold_up_close(fd);
  return setup_fails(fd, faults().rates().query, {ENOTCONN}) ? -1 : next(fd, how);
}

int close(int fd) {
  static auto* const next = real<decltype(::close)>("close");
  hold_up_close(fd);
  return next(fd);
}

}  // extern "C"
