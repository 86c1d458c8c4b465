// One connection to a server: its socket, the attempt that it carries, and the parser of that
// attempt's response. ConnectionPool owns all connections, AttemptRunner and ResponseReader drive
// them; this module has no timers and starts no asynchronous operations.
#pragma once

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
#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

// In which condition an attempt leaves its connection.
enum class ConnectionCondition {
  kReusable,             // the response was complete; another request may follow
  kUsedUp,               // the response was complete, but no request may follow
  kBroken,               // the attempt ended early
  kBrokenBeforeResponse  // it broke after the request and before any byte of the response
};

// Any asynchronous handler may run after its connection was closed, so each checks `state` first.
struct UpstreamConnection {
  enum class State {
    kConnecting,
    kWriting,  // the request, or what there is of it
    kWaiting,  // the request was written; the response is awaited or arriving
    kIdle,
    kClosed
  };

  // How the current response reaches the client.
  enum class Delivery {
    kBuffered,         // nothing was delivered; the result will hold the complete body
    kStreaming,        // a part was delivered and passed on
    kPieceOutstanding  // a part was delivered and has not been passed on yet
  };

  using ResponseParser = boost::beast::http::response_parser<IncrementalBody>;

  explicit UpstreamConnection(boost::asio::io_context& io) : socket(io) {}

  // Whether the server has neither closed the connection nor sent anything that is still unread.
  bool is_open_and_silent();

  // Makes the next close() a reset. Nothing that is still in transit is then taken for a request,
  // and no response is waited for.
  void reset_on_close();

  // Puts the request's head, and what there is of its body, into `output`. `time_left` in us.
  void encode_request(const ForwardedRequest& request, Micros time_left);

  // Puts the next piece of the request's body into `output`.
  void encode_body_piece(const std::string& piece, bool is_last);

  // Prepares for the response to a new request.
  void begin_response();

  // Prepares the parser for a response, or for the one after an interim response.
  void expect_response();

  // Parses what was received. False if more is needed. Throws HttpError or
  // boost::system::system_error if it is no valid response.
  bool parse_received();

  // Whether any byte of the current response was received.
  bool has_response_bytes() const;

  // Whether the bytes behind a response may be the rest of it, because its stated length was too
  // small. A truncated body must not be delivered. A chunked response marks its own end, and bytes
  // that begin like a response are another one.
  bool may_be_truncated() const;

  State state = State::kConnecting;
  std::string server;
  boost::asio::ip::tcp::endpoint address;
  // Start time of the server process that the connection was opened to.
  Micros server_started_at = 0;
  boost::asio::ip::tcp::socket socket;
  AttemptKey attempt;

  // Request.
  std::string output;
  // `output` is being written asynchronously.
  bool write_pending = false;
  // More of the request's body is to come.
  bool body_incomplete = false;
  // The request's body is sent in chunks.
  bool is_chunked = false;
  // The connection broke while the request was being written.
  bool broke_while_writing = false;
  // Pieces of request bodies whose write was watched by a timer, over the connection's life.
  std::uint64_t watched_writes = 0;

  // Response.
  bool read_pending = false;
  // Received bytes that were not parsed yet.
  std::string received;
  std::optional<ResponseParser> parser;
  Delivery delivery = Delivery::kBuffered;
  // The complete response was received; only its delivery is left.
  bool response_complete = false;
  int interim_responses = 0;
  // When the response's first byte was received.
  Micros first_byte_at = 0;
  // When some of the response was received, or passed on, last.
  Micros last_progress_at = 0;

  // Reuse.
  Micros idle_since = 0;
  // us of idle time before the current request; 0 for the connection's first.
  Micros idle_before_request = 0;

 private:
  void check_head();
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

}  // namespace quota_gateway::net
