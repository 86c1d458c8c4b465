// Access to the event loop for the modules of one gateway process.
#pragma once

#include <boost/asio/io_context.hpp>

#include "net/event_loop/clock.hpp"
#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// Holds references only. GatewayServer owns the clock and the timers, and its caller owns the
// io_context.
struct EventLoop {
  boost::asio::io_context& io;
  const Clock& clock;
  Timers& timers;
};

}  // namespace quota_gateway::net
