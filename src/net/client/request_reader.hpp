// Parses the bytes of one client connection into validated requests. Owns the bytes that have been
// read but not parsed, and the message that is being parsed. Does no I/O; called by the client
// session. After a function has thrown HttpError the open message is unusable, and the caller must
// call end_message() or drop the reader.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "net/client/arrival_times.hpp"
#include "net/client/request_validator.hpp"
#include "net/http/buffer_limits.hpp"
#include "net/http/framing.hpp"
#include "net/http/receive_buffer.hpp"
#include "quota_gateway/settings.hpp"

namespace quota_gateway::net {

// One piece of a request body that is streamed.
struct BodyPiece {
  std::string bytes;
  bool is_last = false;
};

class RequestReader {
 public:
  // The result of advance().
  enum class Progress { kNeedsInput, kAdvanced, kMessageReady };

  // `settings` must outlive the reader.
  explicit RequestReader(const Settings& settings, BufferLimits limits = {})
      : settings_(settings), limits_(limits) {}

  // `arrived_at`: when the bytes arrived, or earlier.
  void append_input(const char* bytes, std::size_t size, Micros arrived_at);
  bool has_input() const { return !input_.empty(); }
  // Number of bytes that have not been parsed.
  std::size_t buffered_bytes() const { return input_.size(); }
  // Number of bytes for which the reader holds memory for them, whether used or not.
  std::size_t allocated_input_bytes() const { return input_.allocated_bytes(); }
  // Number of bytes for which the reader holds memory in all, whether they are used or not.
  std::size_t allocated_bytes() const;
  // How many more bytes of a body the reader takes before the body must be forwarded.
  std::size_t body_space() const;
  // Drops the unparsed bytes and frees their memory.
  void discard_input() { input_.release(); }

  bool is_message_open() const { return parser_.has_value(); }
  void start_message();
  // Parses some input of the open message. Returns kMessageReady if the message is complete or more
  // than BufferLimits::max_body_bytes of its body have arrived. Throws HttpError.
  Progress advance();
  // Whether the head of the open message is a valid request that has not been taken.
  bool has_valid_head() const { return request_.has_value(); }
  // Whether the open message is complete.
  bool is_message_complete() const { return parser_->is_done(); }
  // Whether a part of the open message's body is to come, and the complete body is longer than
  // BufferLimits::max_body_bytes or may be.
  bool awaits_long_body() const;
  // Whether the client waits for "100 Continue" before it sends the body. True at most once for
  // each message.
  bool take_expects_continue();

  // Whether the message is a GET of /_health. Only valid if advance() returned kMessageReady.
  bool is_health_check() const { return !request_; }
  // Returns the request after advance() returned kMessageReady. If its body is incomplete, the
  // message stays open. Throws HttpError.
  ClientRequest take_request();
  // Whether the body of the taken request is incomplete.
  bool is_body_incomplete() const { return body_incomplete_; }
  // Number of bytes of the taken request's body that follow the unparsed input. Empty if its length
  // is not stated.
  std::optional<std::uint64_t> missing_body_bytes() const;
  // Whether the unparsed input and the bytes that follow it, which end with `tail`, end like a
  // chunked body. `tail` must hold as many of these bytes as kLastChunk has, or all.
  bool ends_like_chunked_body(std::string_view tail) const;
  // Returns the part of the taken request's body that has arrived since the last piece, or nullopt
  // if nothing has. Throws HttpError.
  std::optional<BodyPiece> take_body_piece();
  // Returns when the client stops waiting for one of the complete requests that follow the taken
  // one, the earliest such time. Empty if there is none. The taken request must be complete.
  std::optional<Micros> earliest_end_of_following_requests() const;
  // Drops the open message, if there is one. Keeps unparsed input.
  void end_message();

  // Whether the connection stays open after the response, and the HTTP version, according to the
  // last head.
  bool keeps_alive() const { return keep_alive_; }
  HttpVersion version() const { return version_; }

 private:
  using Parser = boost::beast::http::request_parser<IncrementalBody>;

  struct ParseResult {
    std::size_t bytes;             // parsed and removed from the input
    boost::system::error_code ec;  // need_more: the message continues after the input
  };

  // Parses the input up to the next stop of the parser, such as the end of the head.
  ParseResult parse_input();
  // Parses the start line, or what is behind it.
  ParseResult parse_part();
  void check_head();
  bool is_ready() const;

  const Settings& settings_;
  const BufferLimits limits_;
  ReceiveBuffer input_;
  ArrivalTimes arrivals_;  // of `input_`
  std::optional<Parser> parser_;
  std::optional<ClientRequest> request_;  // set while a validated request has not been taken
  bool start_line_parsed_ = false;        // of the open message
  bool body_incomplete_ = false;
  bool expects_continue_ = false;
  bool keep_alive_ = true;
  HttpVersion version_ = HttpVersion::kHttp11;
};

}  // namespace quota_gateway::net
