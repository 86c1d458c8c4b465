#include "support/fake_discovery.hpp"

#include <array>
#include <charconv>

namespace quota_gateway::net::testing {

std::string FakeDiscovery::chunk(const std::string& text) {
  std::array<char, 16> size{};
  auto* const end = std::to_chars(size.begin(), size.end(), text.size(), 16).ptr;
  return std::string(size.begin(), end) + "\r\n" + text + "\r\n";
}

void FakeDiscovery::on_input(PeerConnection& peer, std::string& pending) {
  if (pending.find("\r\n\r\n") == std::string::npos) {
    return;
  }
  constexpr std::size_t kTargetBegin = std::string_view("GET ").size();
  request_targets.push_back(pending.substr(kTargetBegin, pending.find(" HTTP/") - kTargetBegin));
  pending.clear();
  if (unresponsive) {
    return;
  }
  if (!error_response.empty()) {
    peer.write(error_response);
    return;
  }
  peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(initial_body));
}

}  // namespace quota_gateway::net::testing
