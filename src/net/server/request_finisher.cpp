#include "net/server/request_finisher.hpp"

#include <boost/beast/http/status.hpp>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {
namespace {

namespace http = boost::beast::http;

RequestOutcome outcome_of(int status) {
  switch (http::status(status)) {
    case http::status::ok:
      return RequestOutcome::kSuccess;
    case http::status::too_many_requests:
    case http::status::service_unavailable:
      return RequestOutcome::kOverload;
    default:
      return RequestOutcome::kError;
  }
}

}  // namespace

RequestFinisher::RequestFinisher(const Clock& clock, RequestTable& requests,
                                 ClientListener& clients, GatewayStats& stats)
    : clock_(clock), requests_(requests), clients_(clients), stats_(stats) {}

bool RequestFinisher::try_finish(Request& request, RequestOutcome outcome) {
  if (request.finished) {
    return false;
  }
  request.finished = true;
  if (request.response_counts != nullptr) {  // else an exception has prevented the count
    stats_.on_request_finished(*request.response_counts, outcome);
  }
  if (outcome == RequestOutcome::kError) {
    run_and_log_exceptions("log of failed requests",
                           [&] { log_.on_failed(request, clock_.now()); });
  }
  return true;
}

void RequestFinisher::answer(Request& request, const ClientResponse& response) {
  if (!request.finished) {
    request.timeline.add(RequestStep::kAnswered, clock_.now(), response.status);
  }
  if (try_finish(request, outcome_of(response.status))) {
    clients_.respond(request.client, response);
  }
}

void RequestFinisher::fail(RequestTable::Iterator entry) {
  ClientResponse failure;
  const auto status = entry->second.last_attempt_timed_out ? http::status::gateway_timeout
                                                           : http::status::bad_gateway;
  failure.status = int(status);
  answer(entry->second, failure);
  requests_.remove_if_done(entry);
}

}  // namespace quota_gateway::net
