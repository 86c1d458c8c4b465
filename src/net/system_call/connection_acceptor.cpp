#include "net/system_call/connection_acceptor.hpp"

#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <cerrno>
#include <chrono>
#include <utility>

#include "net/system_call/interrupted_call.hpp"
#include "net/system_call/socket_wait.hpp"

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
constexpr std::chrono::milliseconds kRegistrationRetryDelay{5};

// Whether accept() may be called again at once: none waits, or the first client has left.
bool is_acceptor_usable(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == ECONNABORTED || error == EPROTO;
}

// Sets the flag while a batch is accepted, also if an exception ends it.
class BatchScope {
 public:
  explicit BatchScope(bool& is_accepting) : is_accepting_(is_accepting) { is_accepting_ = true; }
  BatchScope(const BatchScope&) = delete;
  BatchScope& operator=(const BatchScope&) = delete;
  ~BatchScope() { is_accepting_ = false; }

 private:
  bool& is_accepting_;
};

}  // namespace

ConnectionAcceptor::ConnectionAcceptor(boost::asio::io_context& io, tcp::acceptor& acceptor,
                                       int max_batch, std::function<void(tcp::socket)> on_accepted)
    : io_(io),
      acceptor_(acceptor),
      max_batch_(max_batch),
      on_accepted_(std::move(on_accepted)),
      timer_(io) {}

void ConnectionAcceptor::accept_next() {
  is_stopped_ = false;
  if (is_accepting_batch_) {
    wants_next_ = true;
    return;
  }
  if (is_waiting_) {
    return;
  }
  error_code ignored;
  acceptor_.non_blocking(true, ignored);
  wait_readable(acceptor_, [this](error_code ec) {
    is_waiting_ = false;
    on_readable(ec);
  });
  is_waiting_ = true;
}

bool ConnectionAcceptor::resume() {
  if (is_waiting_ || is_stopped_ || !acceptor_.is_open()) {
    return false;
  }
  if (unregistered_.is_open()) {
    register_connection();
  } else {
    accept_next();
  }
  return true;
}

void ConnectionAcceptor::stop() {
  is_stopped_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);
}

void ConnectionAcceptor::on_readable(error_code ec) {
  if (is_stopped_ || !acceptor_.is_open()) {
    return;
  }
  if (ec == boost::asio::error::operation_aborted) {
    return accept_next();  // accepting was stopped and started again since then
  }
  accept_batch();
}

// If each turn of the event loop accepted one connection, a client would wait for as many turns as
// others have connected before it.
void ConnectionAcceptor::accept_batch() {
  {
    const BatchScope scope(is_accepting_batch_);
    int accepted = 0;
    do {
      wants_next_ = false;
      accepted = accept_one() ? accepted + 1 : max_batch_;
    } while (wants_next_ && !is_stopped_ && accepted < max_batch_);
  }
  if (wants_next_ && !is_stopped_) {
    accept_next();
  }
}

// Returns false if no connection can be accepted now.
bool ConnectionAcceptor::accept_one() {
  const int accepted = repeat_if_interrupted(
      [this] { return ::accept(acceptor_.native_handle(), nullptr, nullptr); });
  if (accepted >= 0) {
    unregistered_ = OwnedDescriptor(accepted);
    register_connection();
    return true;
  }
  if (is_acceptor_usable(errno)) {
    wants_next_ = true;
  } else {
    call_after(kAcceptRetryDelay, &ConnectionAcceptor::accept_unless_stopped);
  }
  return false;
}

// A connection that the event loop cannot watch for lack of memory is kept until it can.
void ConnectionAcceptor::register_connection() {
  tcp::socket socket(io_);
  error_code ec;
  socket.assign(tcp::v4(), unregistered_.get(), ec);
  if (ec) {
    return call_after(kRegistrationRetryDelay, &ConnectionAcceptor::register_connection);
  }
  unregistered_.release();
  error_code ignored;
  socket.non_blocking(true, ignored);
  on_accepted_(std::move(socket));
}

void ConnectionAcceptor::accept_unless_stopped() {
  if (!is_stopped_) {
    accept_next();
  }
}

void ConnectionAcceptor::call_after(std::chrono::milliseconds delay,
                                    void (ConnectionAcceptor::*step)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, step](error_code ec) {
    is_waiting_ = false;
    if (!ec) {
      (this->*step)();
    }
  });
  is_waiting_ = true;
}

}  // namespace quota_gateway::net
