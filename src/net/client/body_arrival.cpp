#include "net/client/body_arrival.hpp"

#include <string>

#include "net/client/socket_status.hpp"
#include "net/http/framing.hpp"

namespace quota_gateway::net {

bool BodyArrival::notice(boost::asio::ip::tcp::socket& socket, const RequestReader& reader,
                         std::span<char> scratch) {
  if (is_noticed_) {
    return false;
  }
  is_noticed_ = is_end_unread(socket, reader, scratch);
  return is_noticed_;
}

bool BodyArrival::is_end_unread(boost::asio::ip::tcp::socket& socket, const RequestReader& reader,
                                std::span<char> scratch) {
  const std::size_t unread = unread_bytes(socket);
  if (const auto missing = reader.missing_body_bytes()) {
    return unread >= *missing;
  }
  if (unread == peeked_bytes_) {
    return false;  // as before
  }
  peeked_bytes_ = unread;
  const std::string tail = peek_tail(socket, unread, kLastChunk.size(), scratch);
  return reader.ends_like_chunked_body(tail);
}

}  // namespace quota_gateway::net
