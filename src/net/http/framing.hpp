// HTTP/1.1 message framing shared by the client side, the upstream side and the admin server: body
// size limits, the check of a head's body length, and chunked encoding. Everything here is
// stateless.
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

// Thrown for a message that violates HTTP or the gateway's rules for requests. what() is the reason
// in plain text, which is safe to send to the peer.
class HttpError : public std::runtime_error {
 public:
  explicit HttpError(const std::string& reason,
                     boost::beast::http::status status = boost::beast::http::status::bad_request)
      : std::runtime_error(reason), status_(status) {}

  // The status of the response that rejects the message, if its sender is a client.
  boost::beast::http::status status() const { return status_; }

 private:
  boost::beast::http::status status_;
};

// Bodies up to this size are buffered completely, unless the memory of the process allows less (see
// BufferLimits). A longer body is streamed in pieces, and a request with such a body can be
// attempted only once.
inline constexpr std::size_t kMaxBufferedBodyBytes = std::size_t{64} << 10;

// A message with a longer body is rejected. The limit is slightly above the largest body that
// clients and servers send.
inline constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{48} << 20;

// The HTTP versions that the gateway distinguishes.
enum class HttpVersion : std::uint8_t { kHttp10, kHttp11 };

// Converts a version number of Beast, such as 11 for HTTP/1.1. Every other version counts as 1.0.
HttpVersion http_version(unsigned beast_version);

// The last chunk, which ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// A Beast body type that holds only the bytes parsed since its value was last taken out. Beast's
// string_body is not used because it reserves the announced length immediately, up to 32 MB per
// message.
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
        reserve_linearly(buffer.size());
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }

    static void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    // append() and reserve() of a string in use double its capacity, most of which a body of medium
    // size never uses.
    void reserve_linearly(std::size_t additional_bytes) {
      const std::size_t needed_bytes = body_.size() + additional_bytes;
      if (body_.capacity() >= needed_bytes) {
        return;
      }
      value_type larger;
      larger.reserve((needed_bytes / kGrowthBytes + 1) * kGrowthBytes);
      larger.append(body_);
      body_.swap(larger);
    }

    static constexpr std::size_t kGrowthBytes = 4 << 10;

    value_type& body_;
  };
};

// Encodes `piece` as one chunk of a chunked body. `piece` must not be empty, because an empty chunk
// ends the body (see kLastChunk).
std::string encode_chunk(std::string_view piece);

// Checks that the head doesn't announce the length of its body in more than one way or in a way
// that HTTP implementations interpret differently. If two implementations disagreed about where a
// message ends, its body could smuggle in another message (request smuggling). Throws HttpError.
void check_framing(const boost::beast::http::fields& head, HttpVersion version);

}  // namespace quota_gateway::net
