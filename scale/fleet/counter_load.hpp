// Calls a counter through the gateway's counter client, as fast as replies arrive. Runs on the
// event loop of an EventLoopThread; its counts must be read on that loop too.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>

#include "net/counter/counter_client.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

class CounterLoad {
 public:
  // Connects immediately.
  CounterLoad(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint counter);

  // Adds 1 to each counter key from `first_key` up to but excluding `end_key`, with 500 calls in
  // flight. Resets the counts of replies. The previous run must have ended.
  void run(std::int64_t first_key, std::int64_t end_key);
  // Replies of this run so far, and how many of them did not confirm the call.
  std::int64_t replies() const { return replies_; }
  std::int64_t failed() const { return failed_; }

 private:
  void call_next();
  void on_reply(const CounterReply& reply);

  net::Clock clock_;
  net::Timers timers_;
  std::shared_ptr<net::CounterClient> client_;
  std::int64_t next_key_ = 0;
  std::int64_t end_key_ = 0;
  std::int64_t replies_ = 0;
  std::int64_t failed_ = 0;
};

}  // namespace quota_gateway::scale
