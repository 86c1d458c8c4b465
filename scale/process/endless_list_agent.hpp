// A discovery agent whose list never ends, and the bytes that a gateway draws from it. Hosted by an
// EventLoopThread, on whose event loop all of it runs; its figures are read there too.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace quota_gateway::scale {

class EndlessListAgent {
 public:
  explicit EndlessListAgent(boost::asio::io_context& io);

  std::string host_port() const;
  // Bytes handed to the kernel so far, in whole chunks; up to the send buffer of each connection
  // never leaves it.
  std::uint64_t bytes_drawn() const { return bytes_drawn_; }
  // Requests for the list so far.
  std::size_t requests() const { return requests_; }

 private:
  struct Watch;
  void accept();
  void read_request(const std::shared_ptr<Watch>& watch);
  void begin_list(const std::shared_ptr<Watch>& watch);
  void write(const std::shared_ptr<Watch>& watch);

  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint64_t bytes_drawn_ = 0;
  std::size_t requests_ = 0;
};

}  // namespace quota_gateway::scale
