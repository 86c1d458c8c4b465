// Tests of FakeEndpoints with raw requests from another thread.
#include "fake_endpoints.hpp"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <string>

#include "event_loop_thread.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kStatusLinePrefixSize = 12;

TEST(FakeEndpointsTest, RespondAsTheProtocolSpecifies) {
  EventLoopThread thread;
  auto& endpoints = thread.emplace<FakeEndpoints>(3, 7);
  thread.run([&] {
    endpoints.set_response(1, {.status = 503, .never_ran = true, .service_time = 0});
    endpoints.set_response(2, {.status = 500, .service_time = 0});
  });
  asio::io_context io;
  const auto request_head = [&](std::size_t server, const std::string& target,
                                const std::string& headers) {
    tcp::socket socket(io);
    socket.connect(thread.run([&] { return endpoints.address(server); }));
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
    asio::write(socket, asio::buffer(request));
    std::string response;
    asio::read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n");
    return response;
  };
  const auto status = [&](std::size_t server, const std::string& target,
                          const std::string& headers) {
    return request_head(server, target, headers).substr(0, kStatusLinePrefixSize);
  };
  const std::string trace_id = "X-Trace-Id: t1\r\n";
  EXPECT_EQ(status(0, "/read/1", trace_id), "HTTP/1.1 200");
  EXPECT_NE(request_head(1, "/read/1", trace_id).find("503 Answer\r\nX-Never-Ran: 1\r\n"),
            std::string::npos);
  // Server 5 of three is again the third.
  EXPECT_EQ(status(5, "/read/1", trace_id), "HTTP/1.1 500");
  EXPECT_EQ(status(0, "/read/1", ""), "HTTP/1.1 404");
  EXPECT_EQ(status(0, "/ping", trace_id), "HTTP/1.1 404");
  const auto counts = thread.run([&] { return endpoints.counts(); });
  EXPECT_EQ(counts.requests, 5U);
  EXPECT_EQ(counts.responses.at(404), 2U);
}

}  // namespace
}  // namespace quota_gateway::scale
