// The response that a client session is writing: a complete one, or one whose body is streamed in
// pieces. Holds the bytes that are being written and how the connection goes on afterwards. Owned
// by the session, which does the writing. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "net/client/response_encoder.hpp"

namespace quota_gateway::net {

class ResponseOutput {
 public:
  // What is to be written now. Must not be changed while it is being written.
  const std::string& bytes() const { return bytes_; }
  // What happens to the connection after the response.
  ConnectionUse connection_use() const { return connection_use_; }
  // A response has begun whose body is passed in pieces, and not ended.
  bool is_streaming() const { return is_streaming_; }

  void set_response(const ClientResponse& response, ConnectionUse connection_use);
  // The head of a streamed response and the first piece of its body, which may be empty.
  // `content_length` counts the whole body, in bytes; it must be given for kContentLength only.
  void begin_stream(std::optional<std::uint64_t> content_length, BodyDelimiter delimiter,
                    ConnectionUse connection_use, const std::string& piece);
  // The next piece of the body, which must not be empty.
  void set_piece(std::string piece);
  // What marks the end of the body; it may be nothing.
  void end_stream();
  // Leaves the streamed response incomplete.
  void abort_stream() { is_streaming_ = false; }

  // Empties the bytes if their memory is more than `max_kept_bytes`; call it once they have been
  // written. The memory itself is kept until the next response (docs/known-issues.md).
  void release_memory(std::size_t max_kept_bytes);

 private:
  std::string bytes_;
  BodyDelimiter delimiter_ = BodyDelimiter::kContentLength;  // of the streamed response
  ConnectionUse connection_use_ = ConnectionUse::kKeepAlive;
  bool is_streaming_ = false;
};

}  // namespace quota_gateway::net
