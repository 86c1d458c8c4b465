// A fake discovery agent that sends a list without an end and counts the bytes sent. Runs on the
// event loop of an EventLoopThread; its counts must be read on that loop too.
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

  // The address at which the agent listens.
  std::string host_port() const;
  // Bytes written to the kernel so far, counted when the write of a chunk completes. For each
  // connection, up to the size of its send buffer may never leave the kernel.
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  // Requests for the list that have arrived so far.
  std::size_t requests() const { return requests_; }

 private:
  struct Watch;
  void accept();
  void read_request(const std::shared_ptr<Watch>& watch);
  void begin_list(const std::shared_ptr<Watch>& watch);
  void write(const std::shared_ptr<Watch>& watch);

  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint64_t bytes_sent_ = 0;
  std::size_t requests_ = 0;
};

}  // namespace quota_gateway::scale
