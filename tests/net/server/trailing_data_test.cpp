// Long responses that are complete by their own framing and are followed by bytes that belong to no
// response.
#include <gtest/gtest.h>

#include <cstddef>
#include <ostream>
#include <string>

#include "support/gateway_process.hpp"
#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::size_t kLongBodyBytes = 150'000;

struct TrailingDataCase {
  const char* name;
  std::string bytes;
};

// The name of the test in CTest ends with this.
void PrintTo(const TrailingDataCase& data, std::ostream* out) {
  *out << data.name;
}

class TrailingData : public ::testing::TestWithParam<TrailingDataCase> {
 protected:
  // Makes the server respond with the body, and with the bytes that follow it in the same write.
  void respond_with_trailing_data(FakeServer& server) const {
    server.on_request = [this](PeerConnection& connection, const HttpRequest&) {
      connection.write(http_response("200 OK", "", body) + GetParam().bytes);
    };
  }

  const std::string body = std::string(kLongBodyBytes, 'b');
};

// Guards against a complete response that is cut off because of bytes that do not belong to it.
TEST_P(TrailingData, ACompleteLongResponseIsForwarded) {
  GatewayTestBed test_bed;
  FakeServer server(test_bed.io);
  respond_with_trailing_data(server);
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server));
  test_bed.start();
  Client client = test_bed.client();
  client.send(get_request("t"));
  const auto response = client.receive();
  ASSERT_TRUE(response);
  EXPECT_TRUE(response->body() == body);
  EXPECT_EQ(server.requests.size(), 1U);
}

// Guards against the same on a process, for a request that must not run twice.
TEST_P(TrailingData, ACompleteLongResponseOfAProcessIsForwarded) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  respond_with_trailing_data(server);
  const auto port = free_port(io);
  Process process(with_post_class(config_json(port, server, discovery)));
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(post_request("t"));
  const auto response = client.receive();
  ASSERT_TRUE(response) << process.read_available_log();
  EXPECT_TRUE(response->body() == body);
  EXPECT_EQ(server.requests.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Bytes, TrailingData,
                         ::testing::Values(TrailingDataCase{"PartOfAStatusLine", "HTT"},
                                           TrailingDataCase{"OneByte", "x"},
                                           TrailingDataCase{"Binary", {"\x01\x00\x02", 3}}));

}  // namespace
}  // namespace quota_gateway::net::testing
