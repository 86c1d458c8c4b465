// How a complete gateway answers malformed, oversized and disallowed input.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using ServerInputValidation = GatewayServerTest;

// A valid request in which `original` is replaced.
std::string request_with(const std::string& original, const std::string& replacement) {
  std::string text = get_request("t");
  text.replace(text.find(original), original.size(), replacement);
  return text;
}

TEST_F(ServerInputValidation, AnswersAndClosesOnMalformedOrOversizedInput) {
  test_bed.start();
  const std::string head =
      "GET /profile-read/00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: t\r\n";
  const std::map<std::string, int> status_by_input = {
      {"nonsense\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\n\r\n", 400},
      {"GET /profile-read/short HTTP/1.1\r\nX-Trace-Id: t\r\n\r\n", 400},
      {"GET /unknown/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: t\r\n\r\n", 400},
      {"GET /intro-request/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: t\r\n\r\n", 400},
      {"POST /intro-request/00000000b4d65521 HTTP/1.1\r\nX-Trace-Id: t\r\nContent-Length: "
       "0\r\n\r\n",
       400},
      {"GET /profile-read/00000000b4d65521 HTTP/1.1\r\n\r\n", 400},
      {head + "X-Expires-In: soon\r\n\r\n", 400},
      {head + "X-Expires-In: -5m\r\n\r\n", 400},
      {head + "X-Expires-In: nanm\r\n\r\n", 400},
      {head + "Quota-Info: units=many\r\n\r\n", 400},
      {head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
      {head + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
      {head + "Content-Length: -4\r\n\r\n", 400},
      {head + "Content-Length: 99999999999999999999\r\n\r\n", 400},
      {head + "Transfer-Encoding: gzip, chunked\r\n\r\n", 400},
      {head + "X: " + std::string(40'000, 'x') + "\r\n\r\n", 413},
      {"POST /intro-request/00000000b4d65521 HTTP/1.1\r\nContent-Length: 99000000\r\n\r\n", 413}};
  for (const auto& [input, expected_status] : status_by_input) {
    Client client = test_bed.client();
    client.send(input);
    EXPECT_EQ(status(client), expected_status) << input.substr(0, 200);
    EXPECT_TRUE(client.wait_for_close()) << input.substr(0, 200);
  }
}

// If they were accepted, such plans, units and subsets would influence the decision module, such
// ids and control bytes would reach a server, and a second spelling of a customer would get a
// separate quota.
TEST_F(ServerInputValidation, RejectsInputThatTheSettingsDoNotAllow) {
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  const std::string quota = "units=1,spread=3,first=0";
  const std::string host = "Host: origin.svc";
  const std::string long_id(200, 'x');
  for (const std::string& input :
       {request_with("plan-group", "plan-none"),
        request_with("Plan: plan-group\r\n", ""),
        request_with("Plan: plan-group\r\n", "Plan: plan-group\r\nPlan: plan-group\r\n"),
        request_with(quota, "units=0,spread=3,first=0"),
        request_with(quota, "units=-1,spread=3,first=0"),
        request_with(quota, "units=2,spread=3,first=0"),
        request_with(quota, "units=1e400,spread=3,first=0"),
        request_with(quota, "units=nan,spread=3,first=0"),
        request_with(quota, "units=0x1,spread=3,first=0"),
        request_with(quota, "units=,spread=3,first=0"),
        request_with(quota, "units=1,spread=0,first=0"),
        request_with(quota, "units=1,spread=4,first=0"),
        request_with(quota, "units=1,spread=1.5,first=0"),
        request_with(quota, "units=1,spread=3,first=3"),
        request_with(quota, "units=1,spread=3,first=-1"),
        request_with(quota, "units=1,spread=3,first=1e9"),
        request_with(quota, "units=1,spread=3"),
        request_with(quota, ""),
        request_with(quota, "units=1,units=1,spread=3,first=0"),
        request_with("4000m", "0m"),
        request_with("4000m", "-0m"),
        request_with("4000m", "infm"),
        request_with("4000m", "1e999m"),
        request_with("4000m", "4000"),
        request_with("4000m", "m"),
        request_with("X-Expires-In: 4000m\r\n", ""),
        request_with("00000000b4d65521", "00000002b4d65521"),
        request_with("00000000b4d65521", "+0000000b4d65521"),
        request_with("/profile-read/", "/profile-read/\x01/"),
        request_with("X-Trace-Id: t", "X-Trace-Id: t u"),
        request_with("X-Trace-Id: t", "X-Trace-Id: \x7f"),
        request_with("X-Trace-Id: t", "X-Trace-Id: " + long_id),
        request_with("X-Trace-Id: t", "X-Trace-Id: "),
        request_with("X-Trace-Id: t", "X-Trace-Id: t\r\nX-Trace-Id: u"),
        request_with(host + "\r\n", ""),
        request_with(host, host + "\r\nContent-Length: 2\r\nTransfer-Encoding: chunked"),
        request_with(host, host + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 2"),
        request_with(host, host + "\r\nTransfer-Encoding: xchunked\r\nContent-Length: 0"),
        request_with("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi")}) {
    Client client = test_bed.client();
    client.send(input);
    EXPECT_EQ(status(client), 400) << input;
    EXPECT_TRUE(client.wait_for_close()) << input;
  }
  EXPECT_TRUE(server1.requests.empty());
  Client client = test_bed.client();
  client.send(get_request("t"));
  EXPECT_EQ(status(client), 200);
}

// The first bytes of the body arrive together with the head. Closing the connection with unread
// input would reset it, and the client would lose the answer.
TEST_F(ServerInputValidation, RejectsAnOversizedBodyWhileItIsBeingSent) {
  test_bed.start();
  const std::string head =
      "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
      "t\r\nContent-Length: "
      "60000000\r\n\r\n";
  Client client = test_bed.client();
  std::string text = head;
  text.append(60'000'000, 'x');
  bool sent = false;
  asio::async_write(client.socket, asio::buffer(text),
                    [&](error_code, std::size_t) { sent = true; });
  EXPECT_EQ(status(client), 413);
  EXPECT_TRUE(client.wait_for_close());
  EXPECT_TRUE(test_bed.run_until([&] { return sent; }));
}

}  // namespace
}  // namespace quota_gateway::net::testing
