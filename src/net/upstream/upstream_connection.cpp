#include "net/upstream/upstream_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/system_error.hpp>
#include <cerrno>
#include <utility>

#include "net/http/head_prefix.hpp"
#include "net/system_call/interrupted_call.hpp"
#include "net/system_call/socket_options.hpp"
#include "net/upstream/response_classifier.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeaderBytes = 16 << 10;
// Beast limits heads and bodies. It does not limit the line of a chunk size, whose extensions may
// have any length, nor the trailers behind the last chunk; both wait in `received` until complete.
constexpr std::size_t kMaxUnparsedBytes = kMaxHeaderBytes;

// Returns the result of receiving one byte without removing it, with errno set.
ssize_t peek_byte(asio::ip::tcp::socket& socket) {
  char byte = 0;
  return repeat_if_interrupted(
      [&] { return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT); });
}

}  // namespace

bool UpstreamConnection::is_open_without_unread_data() {
  return peek_byte(socket) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool UpstreamConnection::has_unread_data() {
  return peek_byte(socket) > 0;
}

void UpstreamConnection::reset_on_close() {
  set_reset_on_close(socket);
}

void UpstreamConnection::encode_request(const ForwardedRequest& request, Micros time_left) {
  output.clear();
  output.append(request.method).append(" ").append(request.target);
  output.append(" HTTP/1.1\r\nHost: ").append(request.host);
  output.append("\r\nX-Trace-Id: ").append(request.trace_id);
  if (!request.idempotency_key.empty()) {
    output.append("\r\nIdempotency-Key: ").append(request.idempotency_key);
  }
  output.append("\r\nX-Expires-In: ").append(std::to_string(time_left)).append("u");
  body_incomplete = !request.body_complete;
  awaits_body_piece = false;
  is_chunked = body_incomplete && !request.content_length;
  const auto length =
      request.body_complete ? request.body.size() : request.content_length.value_or(0);
  if (is_chunked) {
    output.append("\r\nTransfer-Encoding: chunked");
  } else if (length > 0 || request.method != "GET") {
    output.append("\r\nContent-Length: ").append(std::to_string(length));
  }
  output.append("\r\n\r\n").append(is_chunked ? encode_chunk(request.body) : request.body);
}

void UpstreamConnection::encode_body_piece(const std::string& piece, bool is_last) {
  body_incomplete = !is_last;
  output = is_chunked && !piece.empty() ? encode_chunk(piece) : piece;
  if (is_chunked && is_last) {
    output += kLastChunk;
  }
}

void UpstreamConnection::release_memory() {
  parser.reset();
  head_result_.reset();
  received.release();
}

void UpstreamConnection::begin_response() {
  interim_responses = 0;
  fault = ResponseFault::kNone;
  delivery = Delivery::kBuffered;
  response_complete = false;
  if (!response_.is_empty()) {
    previous_response_ = std::exchange(response_, {});
    recent_bodies_.at(received_bodies_++ % kRecentBodies) = std::exchange(body_, {});
  }
  expect_response();
}

// The parser stops after the head, and parse_received() continues with the body after parse_head().
// A Beast parser that proceeds directly to the body loses the error about a stated length over the
// limit, and would read, for example, all of a 3 GB body.
void UpstreamConnection::expect_response() {
  head_result_.reset();
  start_line_parsed = false;
  parser.emplace();
  parser->header_limit(kMaxHeaderBytes);
  parser->body_limit(kMaxBodyBytes);
}

bool UpstreamConnection::parse_received() {
  while (!parser->is_done()) {
    if (received.empty()) {
      return false;
    }
    if (!parse_some()) {
      check_unparsed_size();
      return false;
    }
  }
  return true;
}

bool UpstreamConnection::parse_some() {
  const std::size_t parseable = parser->is_header_done()
                                    ? received.size()
                                    : parseable_head_bytes(received.view(), start_line_parsed);
  error_code ec;
  std::size_t parsed = 0;
  if (parseable > 0) {
    parsed = parser->put(asio::buffer(received.data(), parseable), ec);
  } else if (!start_line_parsed) {
    ec = check_partial_start_line<ResponseParser>(received.view());
  }
  if (ec && ec != http::error::need_more) {
    throw boost::system::system_error(ec);  // not HTTP, or too large
  }
  response_.add(received.view().substr(0, parsed));
  if (is_final_head_done()) {
    body_.add(received.view().substr(0, parsed));
  }
  received.consume(parsed);
  start_line_parsed = start_line_parsed || parsed > 0;
  if (parser->is_header_done() && !parser->eager()) {
    parse_head();
  } else if (parser->eager()) {
    parser->get().clear();  // trailers, which are not used
  }
  return parsed > 0;
}

void UpstreamConnection::check_unparsed_size() const {
  if (received.size() > kMaxUnparsedBytes) {
    throw HttpError("a chunk header or the trailers of the response are too long");
  }
}

void UpstreamConnection::parse_head() {
  auto& head = parser->get();
  check_framing(head, http_version(head.version()));
  parser->eager(true);
  if (!is_interim(head)) {
    head_result_ = result_of_head(head);
  }
  head.clear();
}

AttemptResult UpstreamConnection::take_result() {
  AttemptResult result = *head_result_;
  result.first_byte_at = first_byte_at;
  if (result.outcome == Outcome::kOk) {
    result.body = std::exchange(parser->get().body(), {});
  }
  return result;
}

bool UpstreamConnection::end_of_stream() {
  if (!parser->is_header_done() || !parser->need_eof() || !received.empty()) {
    return false;
  }
  error_code ec;
  parser->put_eof(ec);
  if (ec) {
    throw boost::system::system_error(ec);
  }
  return parser->is_done();
}

bool UpstreamConnection::is_length_unknown() const {
  return parser->chunked() || parser->need_eof();
}

bool UpstreamConnection::is_reusable() const {
  return parser->keep_alive() && received.empty();
}

bool UpstreamConnection::repeats_body() const {
  if (body_.is_empty()) {
    return repeats_response();
  }
  return std::find(recent_bodies_.begin(), recent_bodies_.end(), body_) != recent_bodies_.end();
}

bool UpstreamConnection::has_response_bytes() const {
  return parser->got_some() || !received.empty();
}

bool UpstreamConnection::may_be_truncated() const {
  return !received.empty() && !parser->chunked() && !received.view().starts_with("HTTP/");
}

}  // namespace quota_gateway::net
