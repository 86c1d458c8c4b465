// A client that sends requests at a fixed rate, whether or not earlier ones are answered, and takes
// how long each waited since it was due. Hosted by an EventLoopThread, on whose event loop all of
// it runs; its figures are read there too.
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
  std::size_t requests = 0;  // after which it stops; one at least is sent
};

// Connections are kept open, and a request takes one that is free or else a new one.
class PacedClient {
 public:
  PacedClient(boost::asio::io_context& io, PacedClientOptions options);

  // Whether each request was answered or has failed.
  bool is_finished() const { return completed_ == options_.requests; }
  // In ms, of each request that was answered with 200: from when it was due to its answer's end.
  const std::vector<double>& latencies_ms() const { return latencies_ms_; }
  // Requests that were answered with another status, or not at all.
  std::size_t failed() const { return completed_ - latencies_ms_.size(); }

 private:
  struct Call;
  void schedule_next();
  void start_request(Micros due);
  std::shared_ptr<Call> free_call();
  void connect(const std::shared_ptr<Call>& call);
  void send(const std::shared_ptr<Call>& call);
  void receive(const std::shared_ptr<Call>& call);
  void on_response(const std::shared_ptr<Call>& call);
  void on_error(const std::shared_ptr<Call>& call);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  const PacedClientOptions options_;
  const Micros started_at_;
  std::size_t started_ = 0;
  std::size_t completed_ = 0;
  std::vector<std::shared_ptr<Call>> idle_calls_;
  std::vector<double> latencies_ms_;
};

}  // namespace quota_gateway::scale
