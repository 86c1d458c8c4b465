#include "net/http/framing.hpp"

#include <boost/beast/core/string.hpp>
#include <cstdio>
#include <string_view>

namespace quota_gateway::net {

namespace http = boost::beast::http;

std::string as_chunk(const std::string& piece) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  return size + piece + "\r\n";
}

void check_framing(const http::fields& head, bool is_http11) {
  const auto lengths = head.count(http::field::content_length);
  const auto encodings = head.count(http::field::transfer_encoding);
  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
    throw BadMessage("more than one length");
  }
  if (lengths > 0) {
    const auto length = head[http::field::content_length];
    if (length.empty() ||
        length.find_first_not_of("0123456789") != boost::beast::string_view::npos) {
      throw BadMessage("bad length");
    }
  }
  if (encodings > 0 &&
      (!is_http11 || !boost::beast::iequals(head[http::field::transfer_encoding], "chunked"))) {
    throw BadMessage("unknown encoding");
  }
}

}  // namespace quota_gateway::net
