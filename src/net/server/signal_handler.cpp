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
    run_and_log_exceptions("signals", [this] { wait(); });
    if (signal == SIGHUP) {
      callbacks_.on_hang_up();
    } else {
      callbacks_.on_terminate();
    }
  });
  is_waiting_ = true;
}

void SignalHandler::resume() {
  if (!is_waiting_) {
    wait();
  }
}

}  // namespace quota_gateway::net
