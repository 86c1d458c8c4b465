#include "net/client/health_check.hpp"

#include <boost/beast/http/status.hpp>

namespace quota_gateway::net {
namespace {

const char* health_text(ServingState state) {
  switch (state) {
    case ServingState::kStarting:
      return "starting\n";
    case ServingState::kDraining:
      return "draining\n";
    default:
      return "ok\n";
  }
}

}  // namespace

ClientResponse health_response(ServingState state) {
  namespace http = boost::beast::http;
  const bool serving = state == ServingState::kServing;
  ClientResponse response;
  response.status = int(serving ? http::status::ok : http::status::service_unavailable);
  response.body = health_text(state);
  return response;
}

}  // namespace quota_gateway::net
