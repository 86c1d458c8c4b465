// Parses the HTTP response to a watch, whose body goes on for as long as the watch does. Owned by
// DiscoveryClient, one for each connection; no I/O.
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

  // Whether all of the header has been consumed.
  bool is_header_done() const { return parser_.is_header_done(); }
  // Whether all of the response has been consumed: the agent has ended the watch.
  bool is_done() const { return parser_.is_done(); }

  // The following calls need the header.

  unsigned status() const { return parser_.get().result_int(); }
  // For how long the agent asks to be left alone, us, at most 30 s. 0 if it does not say so.
  Micros retry_after() const;
  // The bytes of the body that have come since the last call.
  std::string take_body();

  // Bytes that are consumed once more of the response has come.
  std::size_t unparsed_bytes() const { return unparsed_.size(); }

 private:
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  std::string unparsed_;
};

}  // namespace quota_gateway::net
