#include "net/client/request_reader.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <utility>

#include "net/client/pipelined_requests.hpp"
#include "net/http/head_prefix.hpp"

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeaderBytes = 8 << 10;

http::status status_of(const error_code& ec) {
  const bool too_large = ec == http::error::body_limit || ec == http::error::header_limit;
  return too_large ? http::status::payload_too_large : http::status::bad_request;
}

}  // namespace

void RequestReader::append_input(const char* bytes, std::size_t size, Micros arrived_at) {
  arrivals_.on_received(size, input_.size(), arrived_at);
  input_.append(bytes, size);
}

std::size_t RequestReader::allocated_bytes() const {
  return input_.allocated_bytes() + (parser_ ? parser_->get().body().capacity() : 0);
}

std::size_t RequestReader::body_space() const {
  const std::size_t used = parser_ ? parser_->get().body().size() : 0;
  return limits_.max_body_bytes - std::min(used, limits_.max_body_bytes);
}

void RequestReader::start_message() {
  parser_.emplace();
  start_line_parsed_ = false;
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBodyBytes);
}

RequestReader::ParseResult RequestReader::parse_input() {
  const bool begins_with_start_line = !start_line_parsed_;
  ParseResult result = parse_part();
  if (begins_with_start_line && start_line_parsed_ && result.ec == http::error::need_more) {
    const ParseResult fields = parse_part();
    result = {result.bytes + fields.bytes, fields.ec};
  }
  return result;
}

RequestReader::ParseResult RequestReader::parse_part() {
  const std::size_t parseable = parser_->is_header_done()
                                    ? input_.size()
                                    : parseable_head_bytes(input_.view(), start_line_parsed_);
  if (parseable == 0) {
    const error_code need_more = http::error::need_more;
    return {0, start_line_parsed_ ? need_more : check_partial_start_line<Parser>(input_.view())};
  }
  ParseResult result{};
  result.bytes = parser_->put(boost::asio::buffer(input_.data(), parseable), result.ec);
  input_.consume(result.bytes);
  start_line_parsed_ = start_line_parsed_ || result.bytes > 0;
  if (parser_->eager()) {
    parser_->get().clear();  // trailers, which are not used
  }
  return result;
}

RequestReader::Progress RequestReader::advance() {
  const auto [parsed_bytes, ec] = parse_input();
  const bool needs_input = ec == http::error::need_more;
  if (ec && !needs_input) {
    throw HttpError(ec.message(), status_of(ec));
  }
  // The parser stops after the head, so that the head is checked before the body, which may be long
  // or may never arrive.
  if (parser_->is_header_done() && !parser_->eager()) {
    check_head();
  }
  if (is_ready()) {
    return Progress::kMessageReady;
  }
  if (!needs_input && parsed_bytes > 0) {
    return Progress::kAdvanced;
  }
  if (input_.size() > kMaxHeaderBytes) {
    throw HttpError("header too large", http::status::payload_too_large);
  }
  return Progress::kNeedsInput;
}

bool RequestReader::is_ready() const {
  return parser_->is_done() || (request_ && parser_->get().body().size() > limits_.max_body_bytes);
}

void RequestReader::check_head() {
  parser_->eager(true);
  const auto& head = parser_->get();
  keep_alive_ = head.keep_alive();
  version_ = http_version(head.version());
  check_framing(head, version_);
  if (head.method() == http::verb::get && head.target() == "/_health") {
    if (parser_->content_length().value_or(0) > 0) {
      throw HttpError("a health check must not have a body");
    }
    return;
  }
  request_ = validate_request(head, settings_);
  expects_continue_ =
      !parser_->is_done() && boost::beast::iequals(head[http::field::expect], "100-continue");
  // Short fields take many times the memory of their text, and the body may arrive slowly.
  parser_->get().clear();
}

bool RequestReader::awaits_long_body() const {
  if (parser_->is_done()) {
    return false;
  }
  const auto length = parser_->content_length();
  return !length || *length > limits_.max_body_bytes;
}

bool RequestReader::take_expects_continue() {
  return std::exchange(expects_continue_, false);
}

ClientRequest RequestReader::take_request() {
  ClientRequest request = std::move(*request_);
  request_.reset();
  request.received_at = arrivals_.of_last_parsed(input_.size());
  ForwardedRequest& forwarded = request.forwarded;
  forwarded.body = std::exchange(parser_->get().body(), {});
  if (request.idempotent && !forwarded.body.empty()) {
    throw HttpError("a request of this class must not have a body");
  }
  forwarded.body_complete = parser_->is_done();
  if (const auto length = parser_->content_length()) {
    forwarded.content_length = *length;
  }
  body_incomplete_ = !forwarded.body_complete;
  if (!body_incomplete_) {
    parser_.reset();
  }
  return request;
}

std::optional<std::uint64_t> RequestReader::missing_body_bytes() const {
  const auto remaining = parser_->content_length_remaining();
  if (!remaining) {
    return std::nullopt;
  }
  return *remaining - std::min<std::uint64_t>(*remaining, input_.size());
}

bool RequestReader::ends_like_chunked_body(std::string_view tail) const {
  const std::string_view input = input_.view();
  std::string end(input.substr(input.size() - std::min(input.size(), kLastChunk.size())));
  end.append(tail);
  return std::string_view(end).ends_with(kLastChunk);
}

std::optional<BodyPiece> RequestReader::take_body_piece() {
  while (!input_.empty() && !parser_->is_done()) {
    const auto [parsed_bytes, ec] = parse_input();
    if (ec && ec != http::error::need_more) {
      throw HttpError(ec.message(), status_of(ec));
    }
    if (parsed_bytes == 0) {
      break;
    }
  }
  const bool is_last = parser_->is_done();
  if (!is_last && parser_->get().body().empty()) {
    return std::nullopt;
  }
  BodyPiece piece{std::exchange(parser_->get().body(), {}), is_last};
  body_incomplete_ = !is_last;
  if (is_last) {
    parser_.reset();
  }
  return piece;
}

std::optional<Micros> RequestReader::earliest_end_of_following_requests() const {
  std::optional<Micros> earliest;
  for (const PipelinedRequest& request : find_pipelined_requests(input_.view())) {
    const Micros end = arrivals_.of_unparsed(request.end - 1, input_.size()) + request.timeout;
    earliest = std::min(earliest.value_or(end), end);
  }
  return earliest;
}

void RequestReader::end_message() {
  parser_.reset();
  request_.reset();
  body_incomplete_ = false;
  expects_continue_ = false;
}

}  // namespace quota_gateway::net
