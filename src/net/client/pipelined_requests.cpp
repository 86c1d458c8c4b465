#include "net/client/pipelined_requests.hpp"

#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cstdint>

#include "net/client/request_validator.hpp"
#include "net/http/framing.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kWhitespace = " \t";

// What the head of a request says about its end and its time.
struct HeadSummary {
  std::uint64_t body_length = 0;
  bool is_chunked = false;
  std::optional<Micros> timeout;
};

bool equals_ignoring_case(std::string_view text, std::string_view name) {
  return boost::beast::iequals({text.data(), text.size()}, {name.data(), name.size()});
}

std::string_view trimmed(std::string_view text) {
  const auto begin = text.find_first_not_of(kWhitespace);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kWhitespace) + 1 - begin);
}

// Throws HttpError if a value is invalid.
void apply_field(std::string_view name, std::string_view value, HeadSummary& summary) {
  if (equals_ignoring_case(name, "Transfer-Encoding")) {
    summary.is_chunked = true;
  } else if (equals_ignoring_case(name, "X-Expires-In")) {
    summary.timeout = parse_expires_in(value);
  } else if (equals_ignoring_case(name, "Content-Length")) {
    const auto [end, error] =
        std::from_chars(value.data(), value.data() + value.size(), summary.body_length);
    if (error != std::errc() || end != value.data() + value.size()) {
      throw HttpError("bad Content-Length");
    }
  }
}

HeadSummary summarize_head(std::string_view head) {
  HeadSummary summary;
  std::size_t line = head.find(kLineEnd);
  while (line != std::string_view::npos) {
    line += kLineEnd.size();
    const std::size_t line_end = head.find(kLineEnd, line);
    const std::string_view field = head.substr(line, line_end - line);
    const std::size_t colon = field.find(':');
    if (colon != std::string_view::npos) {
      apply_field(field.substr(0, colon), trimmed(field.substr(colon + 1)), summary);
    }
    line = line_end;
  }
  return summary;
}

}  // namespace

std::vector<PipelinedRequest> find_pipelined_requests(std::string_view input) {
  input = input.substr(0, kMaxLookAheadBytes);
  std::vector<PipelinedRequest> requests;
  std::size_t begin = 0;
  while (true) {
    const std::size_t head_end = input.find(kHeadEnd, begin);
    if (head_end == std::string_view::npos) {
      return requests;
    }
    HeadSummary summary;
    try {
      summary = summarize_head(input.substr(begin, head_end - begin));
    } catch (const HttpError&) {
      return requests;  // rejected once it is parsed
    }
    const std::size_t body = head_end + kHeadEnd.size();
    if (summary.is_chunked || summary.body_length > input.size() - body) {
      return requests;
    }
    begin = body + summary.body_length;
    if (summary.timeout) {
      requests.push_back({begin, *summary.timeout});
    }
  }
}

}  // namespace quota_gateway::net
