// Runs an event loop within a test.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace quota_gateway::net::testing {

// Runs the loop until `done`. False after a time that no healthy run comes near.
bool run_until(boost::asio::io_context& io, const std::function<bool()>& done);

}  // namespace quota_gateway::net::testing
