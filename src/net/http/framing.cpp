#include "net/http/framing.hpp"

#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

constexpr unsigned kBeastHttp11 = 11;
constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxSizeDigits = 2 * sizeof(std::size_t);
constexpr std::string_view kLineEnd = "\r\n";

void check_content_length(boost::beast::string_view length) {
  const bool only_digits =
      length.find_first_not_of("0123456789") == boost::beast::string_view::npos;
  if (length.empty() || !only_digits) {
    throw HttpError("Content-Length is not a decimal number");
  }
}

void check_transfer_encoding(boost::beast::string_view encoding, HttpVersion version) {
  if (version != HttpVersion::kHttp11 || !boost::beast::iequals(encoding, "chunked")) {
    throw HttpError("unsupported Transfer-Encoding");
  }
}

}  // namespace

HttpVersion http_version(unsigned beast_version) {
  return beast_version == kBeastHttp11 ? HttpVersion::kHttp11 : HttpVersion::kHttp10;
}

std::string encode_chunk(std::string_view piece) {
  std::array<char, kMaxSizeDigits> digits{};
  const auto written =
      std::to_chars(digits.data(), digits.data() + digits.size(), piece.size(), kHexadecimal);
  const std::string_view size(digits.data(), std::size_t(written.ptr - digits.data()));
  std::string chunk;
  chunk.reserve(size.size() + piece.size() + 2 * kLineEnd.size());
  chunk.append(size).append(kLineEnd).append(piece).append(kLineEnd);
  return chunk;
}

void check_framing(const http::fields& head, HttpVersion version) {
  const auto lengths = head.count(http::field::content_length);
  const auto encodings = head.count(http::field::transfer_encoding);
  if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
    throw HttpError("more than one Content-Length or Transfer-Encoding header");
  }
  if (lengths > 0) {
    check_content_length(head[http::field::content_length]);
  }
  if (encodings > 0) {
    check_transfer_encoding(head[http::field::transfer_encoding], version);
  }
}

}  // namespace quota_gateway::net
