// Encodes commands to the quota counter and parses its replies, in the Redis protocol. Connections,
// and the matching of replies to calls, are handled by CounterClient.
#pragma once

#include <hiredis/read.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Encodes a CNT.ADD command. The counter deletes the key after `time_to_live`, which is clamped to
// 1 ms to 60 s. `amount` must be finite.
std::string encode_add_command(const AddToCounter& addition);
// Encodes a PING command.
std::string encode_ping_command();

// A complete reply of the counter.
struct CounterProtocolReply {
  enum class Kind {
    kTotal,     // the amount was added; `total` is the resulting total
    kRejected,  // BUSY or ERR: nothing was added
    kStatus,    // a status reply, such as the reply to PING
    kOther,     // well-formed, but not valid for any call
  };
  Kind kind = Kind::kOther;
  double total = 0;  // finite; used for kTotal only
};

// Splits the byte stream of a connection into replies. Each connection needs its own parser.
class CounterReplyParser {
 public:
  enum class Status { kReply, kNeedMoreBytes, kMalformed };
  struct Result {
    Status status = Status::kNeedMoreBytes;
    CounterProtocolReply reply;  // used for kReply only
  };

  // Throws std::bad_alloc if the parser cannot be allocated.
  CounterReplyParser();
  CounterReplyParser(const CounterReplyParser&) = delete;
  CounterReplyParser& operator=(const CounterReplyParser&) = delete;

  // Appends received bytes. Returns false if the parser has failed and cannot be used any more.
  bool feed(std::string_view bytes);
  // Extracts the next complete reply. After kMalformed, the parser cannot be used any more.
  Result next();
  // Returns the number of bytes that have not been parsed yet, such as those of an incomplete
  // reply.
  std::size_t buffered_bytes() const { return reader_->len - reader_->pos; }

 private:
  struct FreeReader {
    void operator()(redisReader* reader) const { redisReaderFree(reader); }
  };

  std::unique_ptr<redisReader, FreeReader> reader_;
  redisReplyObjectFunctions reply_functions_{};  // `reader_` points to it
};

}  // namespace quota_gateway::net
