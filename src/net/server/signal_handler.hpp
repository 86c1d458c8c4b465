// Handles the process's signals in the event loop. Owned by the program's main function.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

namespace quota_gateway::net {

// Holds SIGHUP back while the object exists: by default, the signal would end the process. It is
// delivered afterwards.
class HangUpBlock {
 public:
  HangUpBlock();
  HangUpBlock(const HangUpBlock&) = delete;
  HangUpBlock& operator=(const HangUpBlock&) = delete;
  ~HangUpBlock();
};

class SignalHandler {
 public:
  // From its construction on, SIGTERM, SIGINT and SIGHUP do not end the process. Signals that
  // arrive before start() are reported after it.
  explicit SignalHandler(boost::asio::io_context& io);

  struct Callbacks {
    std::function<void()> on_terminate;  // SIGTERM or SIGINT
    std::function<void()> on_hang_up;    // SIGHUP
  };
  // Starts to report signals. A callback is called from the event loop once per signal.
  void start(Callbacks callbacks);
  // Waits for signals again, and calls the callbacks again, if an exception has interrupted that.
  // Returns whether it had.
  bool resume();

 private:
  void wait();
  void call_pending_callbacks();

  boost::asio::signal_set signals_;
  Callbacks callbacks_;
  bool is_waiting_ = false;
  // The signal has arrived, and no call of its callback has been completed since.
  bool is_termination_pending_ = false;
  bool is_hang_up_pending_ = false;
};

}  // namespace quota_gateway::net
