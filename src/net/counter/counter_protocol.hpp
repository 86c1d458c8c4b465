// What passes between CounterClient and the quota counter: commands to it and the replies that it
// sends, in the Redis protocol. Knows nothing of connections or of which call a reply answers.
#pragma once

#include <hiredis/read.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// The bytes of a CNT.ADD command. The counter forgets the key after `time_to_live`, at least 1 ms
// and at most 60 s. `amount` must be finite.
std::string encode_add_command(const AddToCounter& addition);
std::string encode_ping_command();

// One complete reply of the counter.
struct CounterProtocolReply {
  enum class Kind {
    kTotal,     // the amount was added; `total` is what the counter then held
    kRejected,  // BUSY or ERR: nothing was added
    kStatus,    // such as the reply to PING
    kOther,     // well-formed, but not a reply that a call may have
  };
  Kind kind = Kind::kOther;
  double total = 0;  // finite; only of kTotal
};

// Splits the byte stream of one connection into replies. Each connection needs a parser of its own.
class CounterReplyParser {
 public:
  enum class Status { kReply, kNeedMoreBytes, kMalformed };
  struct Result {
    Status status = Status::kNeedMoreBytes;
    CounterProtocolReply reply;  // only of kReply
  };

  // Throws std::bad_alloc.
  CounterReplyParser();
  CounterReplyParser(const CounterReplyParser&) = delete;
  CounterReplyParser& operator=(const CounterReplyParser&) = delete;

  // Appends received bytes. False: the parser failed and can't be used any more.
  bool feed(std::string_view bytes);
  // Takes the next complete reply. After kMalformed the parser can't be used any more.
  Result next();
  // Bytes of a reply that is not complete yet.
  std::size_t buffered_bytes() const { return reader_->len - reader_->pos; }

 private:
  struct FreeReader {
    void operator()(redisReader* reader) const { redisReaderFree(reader); }
  };

  std::unique_ptr<redisReader, FreeReader> reader_;
  redisReplyObjectFunctions reply_functions_{};  // `reader_` points to it
};

}  // namespace quota_gateway::net
