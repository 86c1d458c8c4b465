#include "fleet/counter_load.hpp"

#include <utility>

namespace quota_gateway::scale {
namespace {

constexpr Micros kCallTimeout = 20'000'000;    // us
constexpr Micros kConnectTimeout = 5'000'000;  // us
constexpr Micros kForgetAfter = 60'000'000;    // us; longer than a run
constexpr int kConcurrentCalls = 500;

}  // namespace

CounterLoad::CounterLoad(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint counter)
    : timers_(io, clock_),
      client_(std::make_shared<net::CounterClient>(
          io, timers_, clock_, std::move(counter), kCallTimeout, kConnectTimeout,
          [this](const CounterReply& reply) { on_reply(reply); })) {
  client_->start();
}

void CounterLoad::run(std::int64_t first_name, std::int64_t end_name) {
  next_name_ = first_name;
  end_name_ = end_name;
  replies_ = 0;
  failed_ = 0;
  for (int i = 0; i < kConcurrentCalls; ++i) {
    call_next();
  }
}

void CounterLoad::call_next() {
  if (next_name_ >= end_name_) {
    return;
  }
  AddToCounter call;
  call.key = next_name_++;
  call.amount = 1;
  call.time_to_live = kForgetAfter;
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
