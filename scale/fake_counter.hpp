// A fake quota counter, which adds up amounts by counter key over RESP. It listens on loopback
// only, is written from the protocol's specification, and counts its traffic and calls. Keys are
// distributed over shards, each of which serves calls in order.
//
// Owned by an EventLoopThread or by a test; all calls are made on its event loop. Unlike the
// specification, it does not limit a gateway to 32 connections: all gateways of a run have the same
// address and cannot be told apart.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "counter_shard.hpp"
#include "counter_totals.hpp"
#include "fake_connection.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Accepts connections, distributes calls over the shards and stores the totals.
class FakeCounter {
 public:
  struct Options {
    std::size_t shards = 1;
    // Rate limit of each shard; unset: calls are served immediately.
    std::optional<double> calls_per_second = std::nullopt;
    // Microseconds of work that may wait at a shard; calls beyond that are rejected.
    Micros max_queue_time = 100'000;
    // Connections on which nothing is received for this long are closed.
    Micros idle_timeout = 10'000'000;
    // 0: any free port.
    unsigned short port = 0;
    // If false, all calls are rejected until accept_calls().
    bool accepts_calls = true;
  };
  struct Counts {
    Traffic traffic;
    // Additions, including rejected ones.
    std::uint64_t calls = 0;
    std::uint64_t rejected = 0;
    std::uint64_t malformed = 0;
    std::uint64_t pings = 0;
    // Accepted so far.
    std::uint64_t connections = 0;
    // Keys that have a total now, including expired totals that are not removed yet.
    std::size_t keys = 0;
  };

  FakeCounter(boost::asio::io_context& io, const Options& options);
  ~FakeCounter();

  boost::asio::ip::tcp::endpoint address() const { return address_; }
  std::string host_port() const { return to_host_port(address_); }
  void accept_calls() { accepts_calls_ = true; }
  // Calls to a shard that is down wait, and so do the replies to later calls on the same
  // connections, because replies are sent in order. Throws std::out_of_range if there is no such
  // shard.
  void set_shard_down(std::size_t shard, bool down);
  // Simulates the loss of the counter's machine and its replacement: after start() the counter is
  // empty and listens on the same port.
  void stop();
  void start();
  Counts counts() const;

 private:
  void on_command(const std::shared_ptr<FakeCounterConnection>& caller,
                  const std::vector<std::string_view>& words);
  // Returns the reply, or nothing if the reply is sent later.
  std::optional<std::string> handle_command(const std::shared_ptr<FakeCounterConnection>& caller,
                                            std::uint64_t reply_slot,
                                            const std::vector<std::string_view>& words);
  std::optional<std::string> handle_call(CounterCall call);
  void serve(const CounterCall& call);
  void wait_for_sweep();
  void close_idle_connections(Micros now);

  boost::asio::io_context& io_;
  const Options options_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_timer_;
  std::vector<std::unique_ptr<CounterShard>> shards_;
  FakeConnections connections_;
  CounterTotals totals_;
  bool accepts_calls_;
  Counts counts_;
};

}  // namespace quota_gateway::scale
