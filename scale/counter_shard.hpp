// One shard of a fake counter. It serves calls in order, at a limited rate if one is set, and keeps
// them waiting while it is down. FakeCounter owns its shards; all calls are made on its event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

class FakeCounterConnection;

// An addition that FakeCounter has received.
struct CounterCall {
  std::string key;
  double amount = 0;
  Micros lifetime = 0;
  std::weak_ptr<FakeCounterConnection> caller;
  // Position of the reply among the replies on the caller's connection.
  std::uint64_t reply_slot = 0;
};

// A queue of calls that are served one after another.
class CounterShard {
 public:
  struct Options {
    // Unset: calls are served immediately.
    std::optional<double> calls_per_second = std::nullopt;
    // Microseconds of work that may wait in the queue; calls beyond that are not accepted.
    Micros max_queue_time = 100'000;
  };
  // Called for each served call, including calls from clients that have disconnected.
  using CallHandler = std::function<void(const CounterCall&)>;

  CounterShard(boost::asio::io_context& io, const Options& options, CallHandler on_served);

  // Serves the call, possibly before returning, or queues it. Returns false if the queue is full.
  bool enqueue(CounterCall call);
  // While the shard is down, calls wait in the queue.
  void set_down(bool down);
  // Discards the waiting calls.
  void clear() { queue_.clear(); }

 private:
  double service_interval() const;
  void begin_serving();
  void wait_for_next();
  void serve_due();

  const Options options_;
  const CallHandler on_served_;
  boost::asio::steady_timer timer_;
  std::deque<CounterCall> queue_;
  // Time of steady_now() in microseconds at which the scheduled call is served. It has fractions,
  // so that rounding errors do not add up to a lower rate.
  double busy_until_ = 0;
  bool is_down_ = false;
};

}  // namespace quota_gateway::scale
