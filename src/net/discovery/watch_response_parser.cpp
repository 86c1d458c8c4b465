#include "net/discovery/watch_response_parser.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <utility>

#include "net/discovery/watch_disconnect.hpp"

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

constexpr Micros kMaxRetryAfter = 30'000'000;  // us; longer values are reduced to this
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

WatchResponseParser::WatchResponseParser() {
  parser_.eager(true);
  parser_.body_limit(boost::none);  // a watch is unbounded; the size of each list is limited
}

void WatchResponseParser::consume(std::string_view bytes) {
  unparsed_.append(bytes);
  while (!unparsed_.empty()) {
    boost::system::error_code ec;
    const std::size_t used = parser_.put(boost::asio::buffer(unparsed_), ec);
    unparsed_.erase(0, used);
    if (ec && ec != http::error::need_more) {
      throw WatchResponseError(WatchDisconnectReason::kInvalidResponse, ec.message());
    }
    if (used == 0) {
      break;
    }
  }
}

Micros WatchResponseParser::retry_after() const {
  const auto text = parser_.get()[http::field::retry_after];
  double seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return Micros(std::clamp(seconds * kMicrosPerSecond, 0.0, double(kMaxRetryAfter)));
}

std::string WatchResponseParser::take_body() {
  return std::exchange(parser_.get().body(), {});
}

}  // namespace quota_gateway::net
