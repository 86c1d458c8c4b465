// Runs an event loop in a test until a condition holds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace quota_gateway::net::testing {

// Runs the event loop until `done` returns true. Returns false if that takes longer than 20 s,
// which is far longer than a passing test needs.
bool run_until(boost::asio::io_context& io, const std::function<bool()>& done);

}  // namespace quota_gateway::net::testing
