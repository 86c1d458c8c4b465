#include "net/counter/counter_protocol.hpp"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <initializer_list>
#include <new>
#include <system_error>
#include <vector>

namespace quota_gateway::net {
namespace {

constexpr Micros kMicrosPerMillisecond = 1000;
constexpr Micros kMinTimeToLiveMs = 1;
constexpr Micros kMaxTimeToLiveMs = 60'000;
// In fixed notation, a finite double has at most 309 digits before the decimal point or at most 343
// characters after it.
constexpr std::size_t kMaxDecimalSize = 400;

std::string encode_command(std::initializer_list<std::string_view> words) {
  std::vector<const char*> arguments;
  std::vector<std::size_t> lengths;
  for (const std::string_view word : words) {
    arguments.push_back(word.data());
    lengths.push_back(word.size());
  }
  char* formatted = nullptr;
  const auto size =
      redisFormatCommandArgv(&formatted, int(arguments.size()), arguments.data(), lengths.data());
  if (size < 0) {
    throw std::bad_alloc();
  }
  std::string command(formatted, std::size_t(size));
  std::free(formatted);
  return command;
}

std::string to_decimal(double value) {
  std::array<char, kMaxDecimalSize> text;
  char* const end =
      std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed).ptr;
  return {text.data(), end};
}

std::optional<double> parse_total(std::string_view text) {
  double total = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, total);
  if (ec != std::errc() || stop != end || !std::isfinite(total)) {
    return std::nullopt;
  }
  return total;
}

// Returns whether the counter's error reply states that nothing was added.
bool is_rejected_call(std::string_view error) {
  return error.substr(0, 4) == "BUSY" || error.substr(0, 3) == "ERR";
}

CounterProtocolReply classify(const redisReply& reply) {
  using Kind = CounterProtocolReply::Kind;
  const std::string_view text(reply.str ? reply.str : "", reply.str ? reply.len : 0);
  if (reply.type == REDIS_REPLY_STATUS) {
    return {Kind::kStatus, 0};
  }
  if (reply.type == REDIS_REPLY_ERROR && is_rejected_call(text)) {
    return {Kind::kRejected, 0};
  }
  if (reply.type == REDIS_REPLY_STRING) {
    if (const std::optional<double> total = parse_total(text)) {
      return {Kind::kTotal, *total};
    }
  }
  return {Kind::kOther, 0};
}

}  // namespace

std::string encode_add_command(const AddToCounter& addition) {
  const Micros time_to_live_ms = std::clamp<Micros>(addition.time_to_live / kMicrosPerMillisecond,
                                                    kMinTimeToLiveMs, kMaxTimeToLiveMs);
  return encode_command({"CNT.ADD", std::to_string(addition.key), to_decimal(addition.amount),
                         std::to_string(time_to_live_ms)});
}

std::string encode_ping_command() {
  return encode_command({"PING"});
}

CounterReplyParser::CounterReplyParser() : reader_(redisReaderCreate()) {
  if (!reader_) {
    throw std::bad_alloc();
  }
  // Rejects array replies, which are not valid for any call. The default function would allocate an
  // array of the stated size, which can be billions of elements.
  reply_functions_ = *reader_->fn;
  reply_functions_.createArray = [](const redisReadTask*, int) -> void* { return nullptr; };
  reader_->fn = &reply_functions_;
}

bool CounterReplyParser::feed(std::string_view bytes) {
  return redisReaderFeed(reader_.get(), bytes.data(), bytes.size()) == REDIS_OK;
}

CounterReplyParser::Result CounterReplyParser::next() {
  void* raw = nullptr;
  if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) {
    return {Status::kMalformed, {}};
  }
  if (!raw) {
    return {Status::kNeedMoreBytes, {}};
  }
  const std::unique_ptr<void, void (*)(void*)> owner(raw, freeReplyObject);
  return {Status::kReply, classify(*static_cast<const redisReply*>(raw))};
}

}  // namespace quota_gateway::net
