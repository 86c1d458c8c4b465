// Registers descriptors with the event loop although epoll_ctl() fails for a moment (ENOMEM,
// ENOSPC).
#pragma once

#include <boost/system/error_code.hpp>
#include <chrono>
#include <thread>

namespace quota_gateway::net {

// Calls `assign(error_code&)`, which assigns a descriptor to an object of Asio, until it succeeds.
// Blocks for 0.1 s at most and then returns the error. For the few descriptors of a hot restart;
// those of clients must not block the event loop, see ConnectionAcceptor.
template <typename Assign>
boost::system::error_code register_descriptor(const Assign& assign) {
  constexpr int kMaxCalls = 100;
  constexpr std::chrono::milliseconds kPause{1};
  boost::system::error_code ec;
  assign(ec);
  for (int call = 1; ec && call < kMaxCalls; ++call) {
    std::this_thread::sleep_for(kPause);
    assign(ec);
  }
  return ec;
}

}  // namespace quota_gateway::net
