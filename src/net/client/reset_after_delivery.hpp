// Resets a client connection behind a response that cannot be completed. Used by ClientSession.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "net/event_loop/timers.hpp"

namespace quota_gateway::net {

// How long a client has to receive what was written before its connection is reset all the same.
// The longest deadline of a client counts as 3 s.
inline constexpr Micros kMaxDeliveryTime = 3'000'000;  // us

// The connection that is to be reset.
struct ConnectionToReset {
  boost::asio::ip::tcp::socket& socket;
  std::function<bool()> is_current;  // whether the connection is still to be reset
  std::function<void()> close;       // closes the socket
};

// Closes the connection with a reset once the peer's system has received all that was written, or
// at `give_up_at`. A reset discards what the peer's system has not received: the beginning of the
// response, which tells the client that it is not complete, and earlier responses, which are.
void reset_after_delivery(ConnectionToReset connection, Timers& timers, const Clock& clock,
                          Micros give_up_at);

}  // namespace quota_gateway::net
