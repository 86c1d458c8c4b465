// Tests parse_socket_address(): which addresses are accepted in endpoint lists and configurations.
#include "net/discovery/socket_address.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(ParseSocketAddress, AcceptsIpv4AndIpv6) {
  const auto four = parse_socket_address("10.1.2.3:8081");
  EXPECT_EQ(four.address().to_string(), "10.1.2.3");
  EXPECT_EQ(four.port(), 8081);
  const auto six = parse_socket_address("fd00::1:65535");
  EXPECT_EQ(six.address().to_string(), "fd00::1");
  EXPECT_EQ(six.port(), 65535);
}

TEST(ParseSocketAddress, ThrowsOnAnythingElse) {
  for (const char* text : {"", "10.1.2.3", "10.1.2.3:", "10.1.2.3:x", "10.1.2.3:80x", "10.1.2.3:-1",
                           "10.1.2.3:65536", ":80", "origin.svc:80", "[fd00::1]:80x"}) {
    EXPECT_THROW(parse_socket_address(text), InvalidSocketAddress) << text;
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
