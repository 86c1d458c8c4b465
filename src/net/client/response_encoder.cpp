#include "net/client/response_encoder.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <string_view>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

constexpr Micros kMinRetryAfter = 1'000;  // us, as the header has three decimals of a second
constexpr double kMicrosPerSecond = 1e6;
constexpr std::size_t kRetryAfterBytes = 48;
constexpr std::string_view kCloseHeader = "\r\nConnection: close";
constexpr std::string_view kEndOfHead = "\r\n\r\n";

std::string_view reason_phrase(int status) {
  const auto reason = http::obsolete_reason(http::status(status));
  return {reason.data(), reason.size()};
}

void append_retry_after(std::string& head, Micros retry_after) {
  std::array<char, kRetryAfterBytes> text{};
  const int size = std::snprintf(text.data(), text.size(), "\r\nRetry-After: %.3f",
                                 double(std::max(retry_after, kMinRetryAfter)) / kMicrosPerSecond);
  head.append(text.data(), std::size_t(size));
}

}  // namespace

std::string encode_response(const ClientResponse& response, ConnectionUse connection_use) {
  std::string message = "HTTP/1.1 " + std::to_string(response.status) + " ";
  message.append(reason_phrase(response.status));
  message.append("\r\nContent-Length: ").append(std::to_string(response.body.size()));
  if (response.retry_after) {
    append_retry_after(message, *response.retry_after);
  }
  if (connection_use == ConnectionUse::kClose) {
    message.append(kCloseHeader);
  }
  return message.append(kEndOfHead).append(response.body);
}

BodyDelimiter choose_body_delimiter(std::optional<std::uint64_t> content_length,
                                    HttpVersion version) {
  if (content_length) {
    return BodyDelimiter::kContentLength;
  }
  return version == HttpVersion::kHttp11 ? BodyDelimiter::kChunked
                                         : BodyDelimiter::kConnectionClose;
}

std::string encode_streamed_head(std::optional<std::uint64_t> content_length,
                                 BodyDelimiter delimiter, ConnectionUse connection_use) {
  std::string head = "HTTP/1.1 200 OK";
  if (content_length) {
    head.append("\r\nContent-Length: ").append(std::to_string(*content_length));
  }
  if (delimiter == BodyDelimiter::kChunked) {
    head.append("\r\nTransfer-Encoding: chunked");
  }
  if (connection_use == ConnectionUse::kClose) {
    head.append(kCloseHeader);
  }
  return head.append(kEndOfHead);
}

}  // namespace quota_gateway::net
