// Reports to the decision module how attempts proceed and end. Owned by GatewayServer, used by
// RequestDispatcher and MessageStreamer.
#pragma once

#include "net/event_loop/clock.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

// The result of an attempt that ended without a response.
AttemptResult result_without_response(Outcome outcome);

class AttemptReporter {
 public:
  AttemptReporter(const Clock& clock, RequestTable& requests, EventBatcher& events);

  // The attempt, which is in flight, has ended. Removes the request, and invalidates the iterator,
  // if it is finished and none of its attempts is in flight any more.
  void report_complete(RequestTable::Iterator entry, AttemptKey key, const AttemptResult& result);

 private:
  const Clock& clock_;
  RequestTable& requests_;
  EventBatcher& events_;
};

}  // namespace quota_gateway::net
