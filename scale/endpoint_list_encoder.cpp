#include "endpoint_list_encoder.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <utility>

namespace quota_gateway::scale {
namespace {

constexpr std::size_t kMaxChunkBytes = 32 << 10;
constexpr std::size_t kMaxNumberDigits = 32;
constexpr std::size_t kChunkOverheadBytes = 16;
constexpr int kHexadecimal = 16;

template <typename Number>
void append_number(std::string& out, Number value) {
  std::array<char, kMaxNumberDigits> digits{};
  const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), value);
  out.append(digits.data(), written.ptr);
}

std::string_view phase_name(Phase phase) {
  switch (phase) {
    case Phase::kUp:
      return "up";
    case Phase::kDraining:
      return "draining";
    case Phase::kRemoved:
      return "removed";
  }
  return {};
}

void append_server(std::string& out, const ListedServer& server) {
  out.append(R"({"id":")").append(server.id);
  out.append(R"(","host_port":")").append(server.host_port);
  out.append(R"(","locality":")").append(server.locality);
  out.append(R"(","flavor":")").append(server.flavor);
  out.append(R"(","cell":)");
  append_number(out, server.cell);
  out.append(R"(,"phase":")").append(phase_name(server.phase));
  out.append(R"(","size":)");
  append_number(out, server.size);
  if (server.size == std::floor(server.size)) {
    out.append(".0");
  }
  out.append(R"(,"up_since_ms":)");
  append_number(out, server.up_since_ms);
  out += '}';
}

}  // namespace

EndpointListEncoder::EndpointListEncoder(std::int64_t revision, ListKind kind) {
  text_.append(R"({"revision":)");
  append_number(text_, revision);
  text_.append(R"(,"complete":)").append(kind == ListKind::kComplete ? "true" : "false");
  text_.append(R"(,"members":[)");
}

void EndpointListEncoder::add(const ListedServer& server) {
  if (!is_empty_) {
    text_ += ',';
  }
  is_empty_ = false;
  append_server(text_, server);
}

std::string EndpointListEncoder::finish() {
  text_.append("]}\n");
  return std::move(text_);
}

std::string encode_chunked(std::string_view text) {
  std::string out;
  out.reserve(text.size() + text.size() / kMaxChunkBytes * kChunkOverheadBytes +
              kChunkOverheadBytes);
  while (!text.empty()) {
    const std::string_view chunk = text.substr(0, kMaxChunkBytes);
    std::array<char, kMaxNumberDigits> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), chunk.size(), kHexadecimal);
    out.append(digits.data(), written.ptr);
    out.append("\r\n").append(chunk).append("\r\n");
    text.remove_prefix(chunk.size());
  }
  return out;
}

}  // namespace quota_gateway::scale
