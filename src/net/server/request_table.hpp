// The accepted client requests that are not finished or still have an attempt in flight. Owned by
// GatewayServer; changed by RequestDispatcher and the modules that it shares its work with.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/client/client_listener.hpp"
#include "net/event_loop/timers.hpp"
#include "net/http/forwarded_request.hpp"
#include "net/server/gateway_stats.hpp"
#include "net/server/recent_trace_ids.hpp"
#include "net/server/request_timeline.hpp"
#include "net/upstream/attempt_handle.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// One attempt to have a server run the request.
struct Attempt {
  std::string endpoint;
  Micros sent_at = 0;
  Micros time_limit = 0;
  Micros deadline = 0;
  // Whether the result was not reported to the decision module yet.
  bool in_flight = true;
  // Ends the attempt at its deadline.
  Timers::Handle expiry;
  // The attempt in the connection pool. Ends with the request, also while it delivers a response.
  AttemptHandle handle;
};

struct Request {
  std::uint64_t id = 0;
  ClientId client = 0;
  Micros read_at = 0;  // when its head was read, which may be after its deadline
  // Counts of the request's class, to which its outcome is added.
  ResponseCounts* response_counts = nullptr;
  // Time allowed from the last byte of the request to its answer.
  Micros time_limit = 0;
  Micros deadline = 0;
  // The outcome has been counted: the request was answered, aborted or abandoned by its client.
  bool finished = false;
  bool last_attempt_timed_out = false;
  // The last byte of the body has arrived, at the latest with the last piece.
  bool body_arrived = true;
  // The client connection has passed on the complete body.
  bool body_complete = true;
  // Part of the body was sent to a server and not stored, so no other attempt is possible.
  bool body_forwarded = false;
  // Whether the request may run more than once without harm.
  bool idempotent = false;
  // The last byte of an attempt was written, so its server may have run the request.
  bool may_have_run = false;
  // Whether the request may be sent again although a server may have run it.
  bool may_run_again = false;
  // An attempt has ended in a way that leaves open whether its server has run the request.
  bool is_run_possible = false;
  // A long response has begun and is being streamed to the client.
  bool response_started = false;
  int attempts_in_flight = 0;
  // Fails the request if the decision module has not ended it in time.
  Timers::Handle decision_check;
  ForwardedRequest forwarded;
  std::vector<Attempt> attempts;
  RequestTimeline timeline;

  int latest_attempt() const { return int(attempts.size()) - 1; }
  Attempt& attempt(int index) { return attempts.at(std::size_t(index)); }
};

class RequestTable {
 public:
  using Requests = std::unordered_map<std::uint64_t, Request>;
  using Iterator = Requests::iterator;

  struct Added {
    std::uint64_t id;
    Request& request;
  };
  // Adds a request under a new id. None: a request with this trace id is open, or a recent one may
  // have run and must not run twice.
  std::optional<Added> add(const std::string& trace_id);

  Iterator find(std::uint64_t id) { return requests_.find(id); }
  // Finds a request by the decimal id that the decision module uses.
  Iterator find(const std::string& decimal_id);
  // Removes the request and invalidates the iterator if the request is finished and none of its
  // attempts is in flight. An attempt that still delivers its response is abandoned.
  void remove_if_done(Iterator request);

  bool contains(std::uint64_t id) const { return requests_.contains(id); }
  Iterator begin() { return requests_.begin(); }
  Iterator end() { return requests_.end(); }
  bool all_finished() const;
  // The number of attempts that occupy a connection.
  std::size_t attempts_with_connection() const;

 private:
  Requests requests_;
  std::unordered_set<std::string> open_trace_ids_;
  RecentTraceIds used_trace_ids_;  // of requests that may have run and must not run twice
  std::uint64_t last_id_ = 0;
};

}  // namespace quota_gateway::net
