#include "support/http_messages.hpp"

#include <array>
#include <charconv>

namespace quota_gateway::net::testing {

std::string http_response(const std::string& status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string get_request(const std::string& trace_id, const std::string& headers) {
  return "GET /profile-read/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " +
         trace_id +
         "\r\nPlan: plan-group\r\nX-Expires-In: 4000m\r\nQuota-Info: units=1,spread=3,first=0\r\n" +
         headers + "\r\n";
}

std::string post_request(const std::string& trace_id, const std::string& expires_in) {
  return "POST /intro-request/00000000b4d65521?x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " +
         trace_id + "\r\nPlan: plan-group\r\nX-Expires-In: " + expires_in +
         "\r\nIdempotency-Key: k-" + trace_id +
         "\r\nContent-Length: 5\r\nQuota-Info: units=1,spread=3,first=0\r\n\r\nhello";
}

std::string post_head(const std::string& framing, const std::string& trace_id) {
  return "POST /intro-request/00000000b4d65521 HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " +
         trace_id + "\r\nPlan: plan-group\r\nX-Expires-In: 4000m\r\nIdempotency-Key: k\r\n" +
         framing + "\r\nQuota-Info: units=1,spread=3,first=0\r\n\r\n";
}

std::string chunk(const std::string& content) {
  constexpr int kHexadecimal = 16;
  std::array<char, 2 * sizeof(std::size_t)> size{};
  char* const end =
      std::to_chars(size.data(), size.data() + size.size(), content.size(), kHexadecimal).ptr;
  return std::string(size.data(), end) + "\r\n" + content + "\r\n";
}

}  // namespace quota_gateway::net::testing
