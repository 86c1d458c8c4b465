// Servers behind the gateways: each listens at a port of its own on loopback and answers requests
// as it is told. More servers may be listed than listen; their numbers then go round those that
// do.
//
// Owned by an EventLoopThread or by a test; all calls come from its event loop.
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

class FakeEndpoints {
 public:
  struct Response {
    // 200, 500 or 503.
    int status = 200;
    // Adds "X-Never-Ran: 1".
    bool never_ran = false;
    // From a request's last byte to its response.
    Micros service_time = 2'000;
    // The part of it by which it varies, evenly in both directions.
    double service_time_spread = 0;
    // With status 200 only.
    std::string body = "ok";
  };
  struct Counts {
    Traffic traffic;
    std::uint64_t requests = 0;
    // Accepted so far.
    std::uint64_t connections = 0;
    // Sent, by status.
    std::map<int, std::uint64_t> responses;
  };

  // `listening` servers, which all give the same response at first. Throws std::invalid_argument
  // if there are none.
  FakeEndpoints(boost::asio::io_context& io, std::size_t listening, std::uint64_t seed = 1);
  FakeEndpoints(boost::asio::io_context& io, std::size_t listening, std::uint64_t seed,
                const Response& response);

  std::size_t listening() const { return servers_.size(); }
  boost::asio::ip::tcp::endpoint address(std::size_t server) const;
  std::string host_port(std::size_t server) const { return to_host_port(address(server)); }
  // From now on; of one server, or of all.
  void set_response(std::size_t server, Response response);
  void set_response(const Response& response);
  Counts counts() const { return counts_; }
  // That came to the server.
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
  // Never grows after the constructor: accepting refers to its elements.
  std::vector<Server> servers_;
  std::mt19937_64 random_;
  Counts counts_;
};

}  // namespace quota_gateway::scale
