// A connection to a server, with its socket, its current attempt and the parser of the attempt's
// response. ConnectionPool owns all connections; AttemptRunner and ResponseReader write and read on
// them. This module uses no timers and starts no asynchronous operations.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/http/forwarded_request.hpp"
#include "net/http/framing.hpp"
#include "net/http/receive_buffer.hpp"
#include "net/system_call/socket_options.hpp"
#include "net/upstream/attempt.hpp"
#include "net/upstream/response_fault.hpp"
#include "net/upstream/response_fingerprint.hpp"

namespace quota_gateway::net {

// The condition of a connection after its attempt has ended.
enum class ConnectionCondition {
  kReusable,             // the response was complete; another request may follow
  kNotReusable,          // the response was complete, but no other request may follow
  kUnsolicitedBytes,     // the server has sent bytes that no request awaits
  kBroken,               // the attempt ended early
  kBrokenBeforeResponse  // broke after the request was written, before any response byte
};

// The state of one connection. An asynchronous handler may run after the connection was closed, so
// each handler checks `state` first.
struct UpstreamConnection {
  enum class State {
    kConnecting,
    kWriting,  // the request is not completely written
    kWaiting,  // the request was written; the response is not complete
    kIdle,
    kClosed
  };

  // How the current response is delivered to the client.
  enum class Delivery {
    kBuffered,         // no part was delivered; the result of a short response has the full body
    kStreaming,        // all delivered pieces were forwarded to the client
    kPieceOutstanding  // the last delivered piece has not been forwarded to the client yet
  };

  // More than a connection that is reused early can receive until a second response has come.
  static constexpr std::size_t kRecentBodies = 8;

  using ResponseParser = boost::beast::http::response_parser<IncrementalBody>;

  explicit UpstreamConnection(boost::asio::io_context& io) : socket(io) {}

  // Returns true if the server has not closed the connection and no received byte is unread.
  bool is_open_without_unread_data();
  // Returns true if received bytes are unread.
  bool has_unread_data();

  // Makes the next close() reset the connection. Data that is still in transit is discarded, so the
  // server cannot take it for a request, and no response is awaited.
  void reset_on_close();

  // Encodes the request's head and the available part of its body into `output`. `time_left` is in
  // microseconds.
  void encode_request(const ForwardedRequest& request, Micros time_left);

  // Encodes the next piece of the request's body into `output`.
  void encode_body_piece(const std::string& piece, bool is_last);

  // Drops the parser and all received bytes, and frees their memory.
  void release_memory();

  // Resets the response state for a new request.
  void begin_response();

  // Resets the parser for the next response, which may be the one after an interim response.
  void expect_response();

  // Parses the received bytes. Returns whether the response is complete. Throws HttpError or
  // boost::system::system_error if the response is invalid.
  bool parse_received();

  // Returns whether the head of the final response was parsed. Only then has the response an
  // outcome and a result.
  bool is_final_head_done() const { return head_result_.has_value(); }
  Outcome outcome() const { return head_result_->outcome; }
  // Returns the result of the attempt. For kOk, the received part of the body is moved into it.
  AttemptResult take_result();

  // Completes a response whose body ends with the connection, which the server has ended in order.
  // Returns false if the response does not end there. Throws like parse_received().
  bool end_of_stream();

  // Returns whether the head does not tell the length of the body.
  bool is_length_unknown() const;

  // Returns whether the complete response leaves the connection open for another request.
  bool is_reusable() const;

  // Returns whether the response is followed by bytes that no request awaits.
  bool has_trailing_bytes() const { return !received.empty(); }

  // Returns whether the complete response has the same bytes as the one before it.
  bool repeats_response() const { return previous_response_ == response_; }

  // Returns whether the response has the same body as one of the kRecentBodies before it on this
  // connection, or the same bytes as the one before it if it has no body.
  bool repeats_body() const;

  // Returns whether any byte of the current response was received.
  bool has_response_bytes() const;

  // Returns whether the response's body, which must then not be delivered, may be truncated because
  // the stated length was too small. This is the case if the response has no chunked encoding,
  // which would mark its end, and is followed by bytes that do not begin another response.
  bool may_be_truncated() const;

  State state = State::kConnecting;
  std::string server;
  boost::asio::ip::tcp::endpoint address;
  // Start time of the server process for which the connection was opened.
  Micros server_started_at = 0;
  boost::asio::ip::tcp::socket socket;
  AttemptKey attempt;

  // Request state.
  const ForwardedRequest* request = nullptr;  // of the assigned attempt
  AttemptTimes times;
  std::string output;              // encoded bytes to write
  std::size_t output_written = 0;  // bytes of `output` that the socket has taken
  // Whether further pieces of the request's body follow.
  bool body_incomplete = false;
  // Whether the next piece of the body was requested and has not arrived. Only then is `output`
  // completely written, so that a piece may replace it.
  bool awaits_body_piece = false;
  // Whether the request's body is sent with chunked encoding.
  bool is_chunked = false;
  NoDelayOption no_delay;
  // Time at which the socket last took a part of `output`, or at which its writing began.
  Micros last_write_at = 0;

  // Response state.
  bool read_pending = false;  // a wait for the socket to be readable is pending
  // Whether the server is known to send bytes that no request awaits.
  bool is_distrusted = false;
  // Whether the previous response was delivered in pieces.
  bool had_long_response = false;
  // Whether a response with the same body as the one before it is a second copy of that.
  bool suspects_same_body = false;
  // Whether the connection, which is idle, is out of use, see ConnectionReusePolicy.
  bool is_observed = false;
  // Received bytes that were not parsed yet. At most the limits of parse_received() and one read.
  ReceiveBuffer received;
  std::optional<ResponseParser> parser;
  Delivery delivery = Delivery::kBuffered;
  // Whether the complete response was received. Its delivery may still be in progress.
  bool response_complete = false;
  // Whether the start line of the response that is being parsed was parsed.
  bool start_line_parsed = false;
  int interim_responses = 0;
  // Why the response cannot be used, set before its attempt fails.
  ResponseFault fault = ResponseFault::kNone;
  // Time at which the response's first byte was received.
  Micros first_byte_at = 0;
  // Time at which a part of the response was last received or forwarded.
  Micros last_progress_at = 0;

  // Reuse state.
  Micros idle_since = 0;
  // Idle time before the current request, in microseconds; 0 for the connection's first request.
  Micros idle_before_request = 0;

 private:
  // Parses some of the received bytes. Returns false if more are needed.
  bool parse_some();
  void parse_head();
  void check_unparsed_size() const;

  // What the head of the final response says. The parsed fields themselves are not kept: short
  // fields take many times the memory of their text, and the body may go on for long.
  std::optional<AttemptResult> head_result_;
  ResponseFingerprint response_;  // of the response that is being received
  std::optional<ResponseFingerprint> previous_response_;
  ResponseFingerprint body_;  // of the response that is being received
  std::array<ResponseFingerprint, kRecentBodies> recent_bodies_;  // the oldest is replaced
  std::size_t received_bodies_ = 0;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

}  // namespace quota_gateway::net
