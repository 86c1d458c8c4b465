// What the modules of one gateway process need of the event loop that they run in.
#pragma once

#include <boost/asio/io_context.hpp>

#include "net/event_loop/clock.hpp"
#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// References only: GatewayServer owns the clock and the timers, its caller owns the io_context.
struct EventLoop {
  boost::asio::io_context& io;
  const Clock& clock;
  Timers& timers;
};

}  // namespace quota_gateway::net
