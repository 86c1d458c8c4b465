// Helpers that the tests of the scale program's fakes and fleets share. Stateless.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <vector>

#include "listed_server.hpp"

namespace quota_gateway::scale::testing {

// Runs the event loop until the condition holds. Returns false if it does not hold within 20 s,
// which is far longer than a successful run takes.
bool run_until(boost::asio::io_context& io, const std::function<bool()>& condition);

// Returns servers numbered from 0, in 7 zones, at ports from 1000.
std::vector<ListedServer> make_servers(std::size_t count);

// Returns a copy of the server in this phase.
ListedServer with_phase(const ListedServer& server, Phase phase);

}  // namespace quota_gateway::scale::testing
