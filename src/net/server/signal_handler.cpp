#include "net/server/signal_handler.hpp"

#include <csignal>
#include <utility>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {
namespace {

void change_signal_mask(int how) {
  sigset_t hang_up;
  ::sigemptyset(&hang_up);
  ::sigaddset(&hang_up, SIGHUP);
  ::pthread_sigmask(how, &hang_up, nullptr);
}

}  // namespace

HangUpBlock::HangUpBlock() {
  change_signal_mask(SIG_BLOCK);
}

HangUpBlock::~HangUpBlock() {
  change_signal_mask(SIG_UNBLOCK);
}

SignalHandler::SignalHandler(boost::asio::io_context& io) : signals_(io, SIGTERM, SIGINT, SIGHUP) {}

void SignalHandler::start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  wait();
}

void SignalHandler::wait() {
  signals_.async_wait([this](const boost::system::error_code& error, int signal) {
    is_waiting_ = false;
    if (error) {
      return;
    }
    (signal == SIGHUP ? is_hang_up_pending_ : is_termination_pending_) = true;
    run_and_log_exceptions("signals", [this] { wait(); });
    call_pending_callbacks();
  });
  is_waiting_ = true;
}

void SignalHandler::call_pending_callbacks() {
  if (is_termination_pending_) {
    is_termination_pending_ = !run_and_log_exceptions("signals", callbacks_.on_terminate);
  }
  if (is_hang_up_pending_) {
    is_hang_up_pending_ = !run_and_log_exceptions("signals", callbacks_.on_hang_up);
  }
}

bool SignalHandler::resume() {
  const bool was_interrupted = !is_waiting_ || is_termination_pending_ || is_hang_up_pending_;
  if (!is_waiting_) {
    wait();
  }
  call_pending_callbacks();
  return was_interrupted;
}

}  // namespace quota_gateway::net
