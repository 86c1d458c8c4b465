// An HTTP client that sends requests at a fixed rate, whether or not earlier ones have been
// answered, and measures the latency of each from the time when it was due. Runs on the event loop
// of an EventLoopThread; its results must be read on that loop too.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

struct PacedClientOptions {
  boost::asio::ip::tcp::endpoint server;
  double requests_per_s = 1;
  std::size_t requests = 0;  // after which the client stops; at least one is sent
};

// Connections are kept open. A request uses an idle connection or, if there is none, a new one.
class PacedClient {
 public:
  PacedClient(boost::asio::io_context& io, PacedClientOptions options);

  // Whether each request has been answered or has failed.
  bool is_finished() const { return completed_ == options_.requests; }
  // For each request that was answered with status 200, the time in ms from when it was due to the
  // end of its response.
  const std::vector<double>& latencies_ms() const { return latencies_ms_; }
  // Requests that were answered with another status, or failed without a response.
  std::size_t failed() const { return completed_ - latencies_ms_.size(); }

 private:
  struct Connection;
  void schedule_next();
  void start_request(Micros due);
  std::shared_ptr<Connection> idle_connection();
  void connect(const std::shared_ptr<Connection>& connection);
  void send(const std::shared_ptr<Connection>& connection);
  void receive(const std::shared_ptr<Connection>& connection);
  void on_response(const std::shared_ptr<Connection>& connection);
  void on_error(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  const PacedClientOptions options_;
  const Micros started_at_;
  std::size_t started_ = 0;
  std::size_t completed_ = 0;
  std::vector<std::shared_ptr<Connection>> idle_connections_;
  std::vector<double> latencies_ms_;
};

}  // namespace quota_gateway::scale
