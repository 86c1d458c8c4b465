// Calls a counter through the gateway's own client as fast as replies come. Hosted by an
// EventLoopThread, on whose event loop all of it runs; its figures are read there too.
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
  // Connects at once.
  CounterLoad(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint counter);

  // Adds 1 under each name from `first_name` to before `end_name`, 500 calls at a time, and counts
  // anew. The run before it must be over.
  void run(std::int64_t first_name, std::int64_t end_name);
  // Replies of this run so far, and those among them that did not confirm the call.
  std::int64_t replies() const { return replies_; }
  std::int64_t failed() const { return failed_; }

 private:
  void call_next();
  void on_reply(const CounterReply& reply);

  net::Clock clock_;
  net::Timers timers_;
  std::shared_ptr<net::CounterClient> client_;
  std::int64_t next_name_ = 0;
  std::int64_t end_name_ = 0;
  std::int64_t replies_ = 0;
  std::int64_t failed_ = 0;
};

}  // namespace quota_gateway::scale
