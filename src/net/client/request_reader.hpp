// Turns the bytes of one client connection into validated requests. Owns the bytes that have been
// read but not parsed, and the message that is being parsed. Does no I/O; the client session calls
// it. Any HttpError that it throws leaves the message unusable: end_message() must follow.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "net/client/request_validator.hpp"
#include "net/http/framing.hpp"
#include "quota_gateway/settings.hpp"

namespace quota_gateway::net {

// Some of the body of a request whose body is streamed.
struct BodyPiece {
  std::string bytes;
  bool is_last = false;
};

class RequestReader {
 public:
  enum class Progress { kNeedsInput, kAdvanced, kMessageReady };

  explicit RequestReader(const Settings& settings) : settings_(settings) {}

  void append_input(const char* bytes, std::size_t size) { input_.append(bytes, size); }
  bool has_input() const { return !input_.empty(); }
  // Bytes that are not parsed yet.
  std::size_t buffered_bytes() const { return input_.size(); }
  // Drops the unparsed bytes and their memory.
  void discard_input() { input_ = {}; }
  // Frees the memory of the unparsed bytes if there are none and it is more than `max_kept_bytes`.
  void release_memory(std::size_t max_kept_bytes);

  bool is_message_open() const { return parser_.has_value(); }
  void start_message();
  // Parses some input of the open message. kMessageReady: all of it is here, or, where the body is
  // long, its beginning. Throws HttpError.
  Progress advance();
  // The head of the open message is a valid request, and its body is being read.
  bool has_valid_head() const { return request_.has_value(); }
  // Whether the client waits for "100 Continue" before it sends the body; true once a message.
  bool take_expects_continue();

  // For a message that is ready: it asks for /_health.
  bool is_health_check() const { return !request_; }
  // The request that is ready. If its body is incomplete, the message stays open. Throws HttpError.
  ClientRequest take_request();
  // More of the taken request's body is to come.
  bool is_body_incomplete() const { return body_incomplete_; }
  // What has arrived of the taken request's body since the last piece; nullopt if nothing has.
  // Throws HttpError.
  std::optional<BodyPiece> take_body_piece();
  // Drops the open message, if there is one. Input behind it stays.
  void end_message();

  // As the last head says.
  bool keeps_alive() const { return keep_alive_; }
  HttpVersion version() const { return version_; }

 private:
  using Parser = boost::beast::http::request_parser<IncrementalBody>;

  struct ParseResult {
    std::size_t bytes;             // parsed, and dropped from the input
    boost::system::error_code ec;  // need_more: the message goes on behind the input
  };

  ParseResult parse_input();
  void check_head();
  bool is_ready();

  const Settings& settings_;
  std::string input_;
  std::optional<Parser> parser_;
  std::optional<ClientRequest> request_;  // once its head has been validated
  bool body_incomplete_ = false;
  bool expects_continue_ = false;
  bool keep_alive_ = true;
  HttpVersion version_ = HttpVersion::kHttp11;
};

}  // namespace quota_gateway::net
