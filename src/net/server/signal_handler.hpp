// Handles the process's signals in the event loop. Owned by the program's main function.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace quota_gateway::net {

class SignalHandler {
 public:
  // SIGTERM, SIGINT and SIGHUP no longer end the process from now on; those that arrive before
  // start() are reported then.
  explicit SignalHandler(boost::asio::io_context& io);

  struct Callbacks {
    std::function<void()> on_terminate;
    std::function<void()> on_hang_up;
  };
  // Called from the event loop, once a signal.
  void start(Callbacks callbacks);

 private:
  void wait();

  boost::asio::signal_set signals_;
  Callbacks callbacks_;
};

}  // namespace quota_gateway::net
