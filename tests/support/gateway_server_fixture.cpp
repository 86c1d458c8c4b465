#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::uint32_t kFirstAddress = 0x7f010000;  // 127.1.0.0

}  // namespace

int GatewayServerTest::status(Client& client) {
  const auto response = client.receive();
  return response ? int(response->result_int()) : 0;
}

LongLatencyObjectiveTest::LongLatencyObjectiveTest() {
  for (ClassSettings& class_settings : test_bed.config.settings.classes) {
    class_settings.latency_objective = 3'000'000;
  }
}

tcp::endpoint ManyEndpoints::address_of(int number) const {
  return {asio::ip::address_v4(kFirstAddress + std::uint32_t(number)), address().port()};
}

ListedEndpoint ManyEndpoints::listed_endpoint(const std::string& id, int number) const {
  ListedEndpoint endpoint = testing::listed_endpoint(id, *this);
  endpoint.address = address_of(number);
  return endpoint;
}

std::string ManyEndpoints::entry_json(const std::string& id, int number,
                                      const std::string& phase) const {
  const tcp::endpoint endpoint = address_of(number);
  const std::string host_port =
      endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  return testing::entry_json(id, host_port, phase);
}

std::uint64_t ManyEndpointsTest::metric(const std::string& name) {
  const std::string all = test_bed.server->render_stats();
  const std::string key = "app." + name + "=";
  return std::stoull(all.substr(all.find(key) + key.size()));
}

}  // namespace quota_gateway::net::testing
