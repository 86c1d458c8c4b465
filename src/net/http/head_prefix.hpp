// Finds how much of a message's head may be passed to its parser. Beast stores each field as it
// arrives, and short fields take many times the memory of their text: passed on only once the head
// is complete, they are stored for no longer than it takes to check them. Stateless.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

namespace quota_gateway::net {

// Returns the number of bytes at the front of `input` that may be parsed: the start line, and the
// fields behind it, each once it is complete. `start_line_parsed`: whether `input` begins behind
// the start line.
std::size_t parseable_head_bytes(std::string_view input, bool start_line_parsed);

// Returns the error of a start line that has not arrived completely, or need_more if what has
// arrived is valid. `Parser`: the Beast parser of the message.
template <class Parser>
boost::system::error_code check_partial_start_line(std::string_view input) {
  Parser parser;
  boost::system::error_code ec;
  parser.put(boost::asio::buffer(input), ec);
  return ec;
}

}  // namespace quota_gateway::net
