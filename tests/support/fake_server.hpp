// A fake of a server behind the gateway. It runs in the event loop of the test.
#pragma once

#include <boost/beast/http.hpp>
#include <functional>
#include <string>
#include <vector>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

namespace http = boost::beast::http;
using HttpRequest = http::request<http::string_body>;

// Passes each complete request to `on_request`, which by default sends status 200 with the target
// of the request as the body.
class FakeServer : public Listener {
 public:
  using Listener::Listener;

  std::function<void(PeerConnection&, const HttpRequest&)> on_request = respond_with_target;
  // Called with the input after the last complete request, whenever more of it has arrived.
  std::function<void(PeerConnection&, const std::string&)> on_incomplete_request =
      [](PeerConnection&, const std::string&) {};
  // All complete requests received.
  std::vector<HttpRequest> requests;

 protected:
  void on_input(PeerConnection& peer, std::string& pending) override;

 private:
  static void respond_with_target(PeerConnection& peer, const HttpRequest& request);
};

}  // namespace quota_gateway::net::testing
