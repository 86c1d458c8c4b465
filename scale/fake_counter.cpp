#include "fake_counter.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <functional>
#include <system_error>
#include <utility>

#include "clocks.hpp"
#include "fake_counter_connection.hpp"

namespace quota_gateway::scale {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kSweepInterval(1);
constexpr std::size_t kMaxKeyBytes = 64;
constexpr double kMaxAmount = 1e9;
constexpr Micros kMicrosPerMilli = 1'000;
// The protocol's specification requires totals to be exact to seven digits.
constexpr int kTotalDigits = 10;
constexpr std::size_t kMaxTotalBytes = 48;

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

// Parses CNT.ADD KEY AMOUNT LIFETIME, with the lifetime in milliseconds. Returns nothing for any
// other command.
std::optional<CounterCall> parse_call(const std::vector<std::string_view>& words) {
  constexpr std::size_t kWords = 4;
  if (words.size() != kWords || words[0] != "CNT.ADD") {
    return std::nullopt;
  }
  const std::string_view key = words[1];
  const auto amount = parse_number<double>(words[2]);
  const auto lifetime_ms = parse_number<Micros>(words[3]);
  if (key.empty() || key.size() > kMaxKeyBytes || !amount || !lifetime_ms) {
    return std::nullopt;
  }
  // This form of the comparison also rejects an amount that is not a number.
  const bool has_valid_amount = std::abs(*amount) <= kMaxAmount;
  if (!has_valid_amount || *lifetime_ms < 1) {
    return std::nullopt;
  }
  CounterCall call;
  call.key = key;
  call.amount = *amount;
  call.lifetime =
      std::min(*lifetime_ms, CounterTotals::kMaxLifetime / kMicrosPerMilli) * kMicrosPerMilli;
  return call;
}

std::string encode_total(double total) {
  std::array<char, kMaxTotalBytes> digits{};
  const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), total,
                                     std::chars_format::general, kTotalDigits);
  const std::string text(digits.data(), written.ptr);
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

}  // namespace

FakeCounter::FakeCounter(asio::io_context& io, const Options& options)
    : io_(io),
      options_(options),
      address_(asio::ip::address_v4::loopback(), options.port),
      acceptor_(io),
      sweep_timer_(io),
      totals_(steady_now()),
      accepts_calls_(options.accepts_calls) {
  const CounterShard::Options shard_options{.calls_per_second = options.calls_per_second,
                                            .max_queue_time = options.max_queue_time};
  for (std::size_t i = 0; i < std::max<std::size_t>(1, options.shards); ++i) {
    shards_.push_back(std::make_unique<CounterShard>(
        io, shard_options, [this](const CounterCall& call) { serve(call); }));
  }
  start();
  wait_for_sweep();
}

FakeCounter::~FakeCounter() {
  reset_all(connections_);
  error_code ignored;
  acceptor_.close(ignored);
}

void FakeCounter::start() {
  if (acceptor_.is_open()) {
    return;
  }
  acceptor_ = listen_on_loopback(io_, address_);
  address_ = acceptor_.local_endpoint();
  accept_all(acceptor_, [this](tcp::socket socket) {
    ++counts_.connections;
    std::make_shared<FakeCounterConnection>(
        std::move(socket), connections_, counts_.traffic,
        [this](const auto& caller, const auto& words) { on_command(caller, words); })
        ->start();
  });
}

void FakeCounter::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  reset_all(connections_);
  for (const auto& shard : shards_) {
    shard->clear();
  }
  totals_.clear();
}

void FakeCounter::set_shard_down(std::size_t shard, bool down) {
  shards_.at(shard)->set_down(down);
}

void FakeCounter::on_command(const std::shared_ptr<FakeCounterConnection>& caller,
                             const std::vector<std::string_view>& words) {
  const std::uint64_t slot = caller->reserve_reply();
  auto reply = handle_command(caller, slot, words);
  if (reply) {
    caller->complete_reply(slot, std::move(*reply));
  }
}

std::optional<std::string> FakeCounter::handle_command(
    const std::shared_ptr<FakeCounterConnection>& caller, std::uint64_t reply_slot,
    const std::vector<std::string_view>& words) {
  const std::string_view command = words.empty() ? std::string_view() : words[0];
  if (command == "PING") {
    ++counts_.pings;
    return "+PONG\r\n";
  }
  if (command == "CLIENT" || command == "SELECT") {
    return "+OK\r\n";
  }
  auto call = parse_call(words);
  if (!call) {
    ++counts_.malformed;
    return "-ERR no such call\r\n";
  }
  call->caller = caller;
  call->reply_slot = reply_slot;
  return handle_call(std::move(*call));
}

std::optional<std::string> FakeCounter::handle_call(CounterCall call) {
  ++counts_.calls;
  if (!accepts_calls_) {
    ++counts_.rejected;
    return "-BUSY not begun\r\n";
  }
  CounterShard& shard = *shards_[std::hash<std::string>()(call.key) % shards_.size()];
  if (!shard.enqueue(std::move(call))) {
    ++counts_.rejected;
    return "-BUSY the line is long\r\n";
  }
  return std::nullopt;
}

void FakeCounter::serve(const CounterCall& call) {
  const double total = totals_.add(call.key, call.amount, call.lifetime, steady_now());
  if (const auto caller = call.caller.lock()) {
    caller->complete_reply(call.reply_slot, encode_total(total));
  }
}

void FakeCounter::wait_for_sweep() {
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code ec) {
    if (ec) {
      return;
    }
    const Micros now = steady_now();
    totals_.sweep(now);
    close_idle_connections(now);
    wait_for_sweep();
  });
}

void FakeCounter::close_idle_connections(Micros now) {
  // A copy, because closing a connection removes it from connections_.
  const FakeConnections connections = connections_;
  for (const auto& connection : connections) {
    if (now - connection->last_received_at() > options_.idle_timeout) {
      connection->close();
    }
  }
}

FakeCounter::Counts FakeCounter::counts() const {
  Counts counts = counts_;
  counts.keys = totals_.size();
  return counts;
}

}  // namespace quota_gateway::scale
