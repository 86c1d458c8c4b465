// Reports the results of attempts to the decision module. Owned by GatewayServer, used by
// RequestDispatcher and MessageStreamer.
#pragma once

#include <cstdint>

#include "net/event_loop/event_loop.hpp"
#include "net/server/event_batcher.hpp"
#include "net/server/request_table.hpp"
#include "net/upstream/attempt.hpp"

namespace quota_gateway::net {

// Returns the result of an attempt that ended without a response.
AttemptResult result_without_response(Outcome outcome);

class AttemptReporter {
 public:
  AttemptReporter(EventLoop loop, RequestTable& requests, EventBatcher& events);

  // Reports that an attempt in flight has ended. Removes the request and invalidates `entry` if the
  // request is finished and has no other attempt in flight.
  void report_complete(RequestTable::Iterator entry, AttemptKey key, const AttemptResult& result);
  // Ends the attempt in flight of a request that was finished, unless its last byte has been
  // written, and reports it as never sent. Without this, an attempt that waits for a connection,
  // for its server or for the rest of the body would go on although nobody waits for its response.
  // Needs no permission to cancel attempts: a server does not begin a request before its last byte.
  //
  // A written attempt that the server's system has not received shortly afterwards ends as well.
  void end_undelivered_attempt(std::uint64_t request);

 private:
  // Ends the attempt in flight, if `abandon` does so, and reports it as never sent.
  void end_attempt(std::uint64_t request, bool (AttemptHandle::*abandon)());

  EventLoop loop_;
  RequestTable& requests_;
  EventBatcher& events_;
};

}  // namespace quota_gateway::net
