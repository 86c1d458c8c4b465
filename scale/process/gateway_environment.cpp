#include "process/gateway_environment.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "slope_sizes.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr double kServersPerGateway = 23;  // the operators' target
constexpr std::size_t kFirstServerNumber = 100'000'000;
constexpr std::size_t kCells = 64;

}  // namespace

GatewayEnvironment::GatewayEnvironment(std::size_t listed_servers)
    : listed_servers_(listed_servers),
      servers_(servers_thread_.emplace<LoopbackServers>(kServerServiceTime)),
      discovery_(control_thread_.emplace<FakeDiscovery>(discovery_options())),
      counter_(control_thread_.emplace<FakeCounter>(FakeCounter::Options{})) {}

FakeDiscovery::Options GatewayEnvironment::discovery_options() const {
  FakeDiscovery::Options options;
  for (std::size_t i = 0; i < listed_servers_; ++i) {
    options.servers.push_back(listed_server(i));
  }
  return options;
}

ListedServer GatewayEnvironment::listed_server(std::size_t index) const {
  ListedServer server;
  server.id = "s-" + std::to_string(kFirstServerNumber + index);
  server.host_port = servers_.host_port(index);
  server.locality = std::string(1, char('a' + index % kZones));
  server.cell = std::int64_t(index % kCells);
  return server;
}

FakeDiscovery::Counts GatewayEnvironment::discovery_counts() {
  return control_thread_.run([this] { return discovery_.counts(); });
}

void GatewayEnvironment::publish(const std::vector<ListedServer>& entries) {
  control_thread_.run([&] { return discovery_.publish(entries); });
}

GatewayConfigOptions GatewayEnvironment::gateway_config(StartingList starting_list) const {
  GatewayConfigOptions options;
  options.discovery_address = discovery_.host_port();
  options.counter_address = counter_.host_port();
  const auto gateways = std::size_t(double(listed_servers_) / kServersPerGateway);
  options.gateway_count = std::max<std::size_t>(1, gateways);
  if (starting_list == StartingList::kKnown) {
    options.known_list = fetch_list();
  }
  return options;
}

// Fetches the complete list from discovery, as JSON.
std::string GatewayEnvironment::fetch_list() const {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(discovery_.address());
  const std::string request = "GET /catalog/members HTTP/1.1\r\nHost: agent\r\n\r\n";
  asio::write(socket, asio::buffer(request));
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  http::read(socket, buffer, parser);
  return parser.get().body();
}

}  // namespace quota_gateway::scale
