// Notices that the end of a request's body has arrived in the system before the session reads it:
// a session reads no more of a body than its server takes. Owned by ClientSession.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <span>

#include "net/client/request_reader.hpp"

namespace quota_gateway::net {

class BodyArrival {
 public:
  // A request begins whose body is complete, or is not.
  void start(bool is_complete) { is_noticed_ = is_complete; }
  // The session has read input, so that the unread bytes are other ones.
  void on_input_read() { peeked_bytes_.reset(); }

  // Looks at the unread bytes of the body that `reader` parses, with `scratch` as memory for them.
  // Returns true once, when its end is among them or has been read.
  bool notice(boost::asio::ip::tcp::socket& socket, const RequestReader& reader,
              std::span<char> scratch);

 private:
  bool is_end_unread(boost::asio::ip::tcp::socket& socket, const RequestReader& reader,
                     std::span<char> scratch);

  bool is_noticed_ = false;
  // Number of unread bytes in which the end of a chunked body was last searched for. Empty after a
  // read.
  std::optional<std::size_t> peeked_bytes_;
};

}  // namespace quota_gateway::net
