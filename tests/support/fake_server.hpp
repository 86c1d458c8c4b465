// A server behind the gateway, on the loop of the test.
#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <string>
#include <vector>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;

// Hands complete requests to `on_request`, which by default responds with the request's target.
class FakeServer : public Listener {
 public:
  using Listener::Listener;

  std::function<void(PeerConnection&, const HttpRequest&)> on_request = respond_with_target;
  std::vector<HttpRequest> requests;

 protected:
  void on_input(PeerConnection& peer, std::string& pending) override;

 private:
  static void respond_with_target(PeerConnection& peer, const HttpRequest& request);
};

}  // namespace quota_gateway::net::testing
