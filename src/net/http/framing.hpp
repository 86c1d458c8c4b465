// What both sides ask of a message's head before they believe its length, and how its body is
// taken.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace quota_gateway::net {

// A message that is not what the protocol knows, and the status that tells a client so.
class BadMessage : public std::runtime_error {
 public:
  explicit BadMessage(const std::string& what, int status = 400)
      : std::runtime_error(what), status_(status) {}
  int status() const { return status_; }

 private:
  int status_;
};

// Bodies up to this are held whole; what is longer is relayed in pieces, and may be sent to a
// server but once.
constexpr std::size_t kMostWhole = 64 << 10;

// Some more than the largest that clients and servers have; what claims to be longer is not
// believed.
constexpr std::uint64_t kMostBody = 48 << 20;

// What has come of a body since it was last taken out. Danger: the library's string_body makes room
// at once for the length that a head claims, 32 MB of it.
struct PieceBody {
  using value_type = std::string;
  class reader {
   public:
    template <bool is_request, class Fields>
    reader(boost::beast::http::header<is_request, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& ec) {
      ec = {};
      std::size_t size = 0;
      for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(part.data()), part.size());
        size += part.size();
      }
      return size;
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

// A piece as a chunk; an empty one ends the body.
std::string as_chunk(const std::string& piece);

// Danger: what two readers may take for messages of different lengths can hide another one in its
// body. Throws BadMessage.
void check_framing(const boost::beast::http::fields& head, bool is_http11);

}  // namespace quota_gateway::net
