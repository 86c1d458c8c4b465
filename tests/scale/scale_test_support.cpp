#include "scale_test_support.hpp"

#include <chrono>
#include <string>

#include "clocks.hpp"
#include "layout.hpp"

namespace quota_gateway::scale::testing {

bool run_until(boost::asio::io_context& io, const std::function<bool()>& condition) {
  constexpr Micros kTimeout = 20'000'000;
  const Micros deadline = steady_now() + kTimeout;
  while (!condition()) {
    if (steady_now() > deadline) {
      return false;
    }
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

std::vector<ListedServer> make_servers(std::size_t count) {
  const Layout layout{.servers = count, .gateways = 0, .zones = 7, .regions = 3};
  return list_servers(
      layout, [](std::size_t server) { return "127.0.0.1:" + std::to_string(1000 + server); });
}

ListedServer with_phase(const ListedServer& server, Phase phase) {
  ListedServer changed = server;
  changed.phase = phase;
  return changed;
}

}  // namespace quota_gateway::scale::testing
