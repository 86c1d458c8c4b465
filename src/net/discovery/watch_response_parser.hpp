// Parses the HTTP response to a watch. The body of the response continues until the watch ends.
// Owned by DiscoveryClient, one for each connection; no I/O.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class WatchResponseParser {
 public:
  WatchResponseParser();

  // Consumes the next bytes of the connection. Throws WatchResponseError if they are not HTTP.
  void consume(std::string_view bytes);

  // Whether the complete header has been consumed.
  bool is_header_done() const { return parser_.is_header_done(); }
  // Whether the complete response has been consumed, which means that the agent ended the watch.
  bool is_done() const { return parser_.is_done(); }

  // status(), retry_after() and take_body() require is_header_done().

  unsigned status() const { return parser_.get().result_int(); }
  // Value of the Retry-After header, us, at most 30 s. 0 if the header is missing or invalid.
  Micros retry_after() const;
  // Returns the bytes of the body that have been parsed since the last call.
  std::string take_body();

  // Number of buffered bytes that cannot be parsed until more of the response arrives.
  std::size_t unparsed_bytes() const { return unparsed_.size(); }

 private:
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  std::string unparsed_;
};

}  // namespace quota_gateway::net
