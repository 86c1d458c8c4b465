// The response that a client session is writing, either complete or streamed in pieces. Holds the
// bytes that are being written, and whether the connection is closed afterwards. Owned by the
// session, which does the writing. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/client/response_encoder.hpp"

namespace quota_gateway::net {

class ResponseOutput {
 public:
  // The bytes to write now. Do not call a function that changes them while they are being written.
  const std::string& bytes() const { return bytes_; }
  // Whether the connection is kept or closed after the response.
  ConnectionUse connection_use() const { return connection_use_; }
  // Whether a streamed response has begun and has neither ended nor been aborted.
  bool is_streaming() const { return is_streaming_; }
  // Whether a streamed response has begun and its end has not been set.
  bool is_incomplete() const { return is_streaming_ || is_aborted_; }

  // Sets the interim response (1xx) that precedes the next response. Its bytes must stay valid.
  void set_interim(std::string_view bytes) { interim_rest_ = bytes; }
  // The part of the interim response that has not been sent. It becomes part of bytes() when the
  // response begins.
  std::string_view interim_rest() const { return interim_rest_; }
  void on_interim_sent(std::size_t size) { interim_rest_.remove_prefix(size); }

  // Sets the bytes to a complete response.
  void set_response(const ClientResponse& response, ConnectionUse connection_use);
  // Sets the bytes to the head of a streamed response and the first piece of its body, which may be
  // empty. `content_length` is the length of the complete body in bytes; it must be set if and only
  // if `delimiter` is kContentLength.
  void begin_stream(std::optional<std::uint64_t> content_length, BodyDelimiter delimiter,
                    ConnectionUse connection_use, const std::string& piece);
  // Sets the bytes to the next piece of the body, which must not be empty.
  void set_piece(std::string piece);
  // Sets the bytes to the end marker of the body, which is empty unless the body is chunked.
  void end_stream();
  // Ends the stream without the rest of the response.
  void abort_stream() {
    is_streaming_ = false;
    is_aborted_ = true;
  }

  // Drops the bytes and frees their memory. Must be called only after they have been written.
  void release_memory() { std::string().swap(bytes_); }
  // Number of bytes for which memory is held, whether they are used or not.
  std::size_t allocated_bytes() const { return bytes_.capacity(); }

 private:
  std::string take_interim_rest();

  std::string bytes_;
  std::string_view interim_rest_;
  BodyDelimiter delimiter_ = BodyDelimiter::kContentLength;  // of the streamed response
  ConnectionUse connection_use_ = ConnectionUse::kKeepAlive;
  bool is_streaming_ = false;
  bool is_aborted_ = false;
};

}  // namespace quota_gateway::net
