// What every module of the server needs of the event loop that it runs in.
#pragma once

#include <boost/asio/io_context.hpp>

#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// References only: GatewayServer owns the clock and the timers, its caller owns the io_context.
struct EventLoop {
  boost::asio::io_context& io;
  const Clock& clock;
  Timers& timers;
};

}  // namespace quota_gateway::net
