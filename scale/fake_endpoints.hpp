// Fake servers behind the gateways. Each server listens on its own loopback port and answers
// requests with a configured response. More servers may be listed than listen; server numbers then
// wrap around the listening servers.
//
// Owned by an EventLoopThread or by a test; all calls are made on its event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fake_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Listens for all servers and counts their requests.
class FakeEndpoints {
 public:
  struct Response {
    // 200, 500 or 503.
    int status = 200;
    // Adds the header "X-Never-Ran: 1".
    bool never_ran = false;
    // Microseconds from the last byte of a request to its response.
    Micros service_time = 2'000;
    // Fraction of service_time by which it varies, uniformly in both directions.
    double service_time_spread = 0;
    // Sent with status 200 only.
    std::string body = "ok";
  };
  struct Counts {
    Traffic traffic;
    std::uint64_t requests = 0;
    // Accepted so far.
    std::uint64_t connections = 0;
    // Responses sent, by status.
    std::map<int, std::uint64_t> responses;
  };

  // Starts `listening` servers, which all give the same response at first. Throws
  // std::invalid_argument if `listening` is 0.
  FakeEndpoints(boost::asio::io_context& io, std::size_t listening, std::uint64_t seed = 1);
  FakeEndpoints(boost::asio::io_context& io, std::size_t listening, std::uint64_t seed,
                const Response& response);

  std::size_t listening() const { return servers_.size(); }
  boost::asio::ip::tcp::endpoint address(std::size_t server) const;
  std::string host_port(std::size_t server) const { return to_host_port(address(server)); }
  // Sets the response to later requests, of one server or of all.
  void set_response(std::size_t server, Response response);
  void set_response(const Response& response);
  Counts counts() const { return counts_; }
  // Returns the number of requests that the server received.
  std::uint64_t requests(std::size_t server) const;

 private:
  class Connection;
  struct Server {
    boost::asio::ip::tcp::acceptor acceptor;
    Response response;
    std::uint64_t requests = 0;
  };

  void accept(Server& server);

  boost::asio::io_context& io_;
  // Does not grow after the constructor, because accept handlers refer to its elements.
  std::vector<Server> servers_;
  std::mt19937_64 random_;
  Counts counts_;
};

}  // namespace quota_gateway::scale
