// One of the shards of a counter: serves calls in turn, at a limited rate if it has one, and lets
// them wait while it is down. Owned by FakeCounter; all calls come from its event loop.
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

struct CounterCall {
  std::string key;
  double amount = 0;
  Micros lifetime = 0;
  std::weak_ptr<FakeCounterConnection> caller;
  // The place of its reply on the caller's connection.
  std::uint64_t reply_slot = 0;
};

class CounterShard {
 public:
  struct Options {
    // None: calls are served at once.
    std::optional<double> calls_per_second = std::nullopt;
    // Of work that may wait; a call beyond is not taken.
    Micros max_queue_time = 100'000;
  };
  // Calls are served also when nobody waits for the reply any more.
  using CallHandler = std::function<void(const CounterCall&)>;

  CounterShard(boost::asio::io_context& io, const Options& options, CallHandler on_served);

  // Serves the call, perhaps from within, or queues it; false if the queue is full.
  bool enqueue(CounterCall call);
  void set_down(bool down);
  // Drops the calls that wait.
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
  // Microseconds of steady_now(), with fractions, so that they do not add up to a lower rate.
  double busy_until_ = 0;
  bool is_down_ = false;
};

}  // namespace quota_gateway::scale
