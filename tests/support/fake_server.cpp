#include "support/fake_server.hpp"

#include "support/http_messages.hpp"

namespace quota_gateway::net::testing {

void FakeServer::on_input(PeerConnection& peer, std::string& pending) {
  while (!pending.empty()) {
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    error_code ec;
    const auto used = parser.put(asio::buffer(pending), ec);
    if (ec || !parser.is_done()) {
      return on_incomplete_request(peer, pending);
    }
    pending.erase(0, used);
    ++peer.requests;
    requests.push_back(parser.release());
    // The handler gets a copy: if it runs the event loop, more requests may arrive and reallocate
    // `requests`.
    on_request(peer, HttpRequest(requests.back()));
  }
}

void FakeServer::respond_with_target(PeerConnection& peer, const HttpRequest& request) {
  peer.write(http_response("200 OK", "", std::string(request.target())));
}

}  // namespace quota_gateway::net::testing
