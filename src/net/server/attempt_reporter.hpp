// Reports the results of attempts to the decision module. Owned by GatewayServer, used by
// RequestDispatcher and MessageStreamer.
#pragma once

#include "net/event_loop/clock.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

// Returns the result of an attempt that ended without a response.
AttemptResult result_without_response(Outcome outcome);

class AttemptReporter {
 public:
  AttemptReporter(const Clock& clock, RequestTable& requests, EventBatcher& events);

  // Reports that an attempt in flight has ended. Removes the request and invalidates `entry` if the
  // request is finished and has no other attempt in flight.
  void report_complete(RequestTable::Iterator entry, AttemptKey key, const AttemptResult& result);

 private:
  const Clock& clock_;
  RequestTable& requests_;
  EventBatcher& events_;
};

}  // namespace quota_gateway::net
