// What the tests of the scale program's fakes and fleets share. Stateless.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <vector>

#include "listed_server.hpp"

namespace quota_gateway::scale::testing {

// Runs the loop until the condition holds; false if it does not within 20 s, which no healthy run
// comes near.
bool run_until(boost::asio::io_context& io, const std::function<bool()>& condition);

// Servers 0 and on, in 7 zones, at ports 1000 and on.
std::vector<ListedServer> make_servers(std::size_t count);

ListedServer with_phase(const ListedServer& server, Phase phase);

}  // namespace quota_gateway::scale::testing
