#include "fleet/counter_load.hpp"

#include <utility>

namespace quota_gateway::scale {
namespace {

constexpr Micros kCallTimeout = 20'000'000;    // us
constexpr Micros kConnectTimeout = 5'000'000;  // us
constexpr Micros kTimeToLive = 60'000'000;     // us; longer than a run
constexpr int kConcurrentCalls = 500;

}  // namespace

CounterLoad::CounterLoad(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint counter)
    : timers_(io, clock_),
      client_(std::make_shared<net::CounterClient>(
          io, timers_, clock_, std::move(counter), kCallTimeout, kConnectTimeout,
          [this](const CounterReply& reply) { on_reply(reply); })) {
  client_->start();
}

void CounterLoad::run(std::int64_t first_key, std::int64_t end_key) {
  next_key_ = first_key;
  end_key_ = end_key;
  replies_ = 0;
  failed_ = 0;
  for (int i = 0; i < kConcurrentCalls; ++i) {
    call_next();
  }
}

void CounterLoad::call_next() {
  if (next_key_ >= end_key_) {
    return;
  }
  AddToCounter call;
  call.key = next_key_++;
  call.amount = 1;
  call.time_to_live = kTimeToLive;
  client_->add(call);
}

void CounterLoad::on_reply(const CounterReply& reply) {
  ++replies_;
  if (reply.outcome != CounterOutcome::kOk) {
    ++failed_;
  }
  call_next();
}

}  // namespace quota_gateway::scale
