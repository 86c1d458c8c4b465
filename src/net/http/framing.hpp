// HTTP/1.1 message framing shared by the client side, the upstream side and the admin server: the
// limits of a body, the checks on a head before its length is believed, and chunked encoding.
// Everything here is stateless.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace quota_gateway::net {

// A message that violates HTTP or this gateway's rules for requests. what() is the reason in plain
// text, which is safe to send to the peer.
class HttpError : public std::runtime_error {
 public:
  explicit HttpError(const std::string& reason,
                     boost::beast::http::status status = boost::beast::http::status::bad_request)
      : std::runtime_error(reason), status_(status) {}

  // The status that rejects the message, where its sender is a client.
  boost::beast::http::status status() const { return status_; }

 private:
  boost::beast::http::status status_;
};

// Bodies up to this size are buffered completely. A longer one is streamed in pieces, and a request
// with such a body can be attempted only once.
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} << 10;

// Somewhat more than the largest body that clients and servers have. A message that announces a
// longer one is rejected.
inline constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{48} << 20;

// The versions that the gateway understands.
enum class HttpVersion : std::uint8_t { kHttp10, kHttp11 };

// Of a message's version as Beast numbers it, such as 11 for HTTP/1.1. Anything else counts as 1.0.
HttpVersion http_version(unsigned beast_version);

// Ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// A Beast body type that holds only what was parsed since the value was last taken out. Without
// this, Beast's string_body would reserve the announced length at once, up to 32 MB per message.
struct IncrementalBody {
  using value_type = std::string;

  class reader {  // NOLINT(readability-identifier-naming): Beast's Body concept fixes the name
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& body)
        : body_(body) {}

    static void init(const boost::optional<std::uint64_t>& /*content_length*/,
                     boost::system::error_code& ec) {
      ec = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      std::size_t size = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }

    static void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

// `piece` as one chunk of a chunked body. `piece` must not be empty: an empty chunk ends the body,
// see kLastChunk.
std::string encode_chunk(std::string_view piece);

// Checks that the head announces its body's length in exactly one way that every HTTP reader
// understands alike. Without this, two readers could disagree where the message ends, and its body
// could smuggle in another message. Throws HttpError.
void check_framing(const boost::beast::http::fields& head, HttpVersion version);

}  // namespace quota_gateway::net
