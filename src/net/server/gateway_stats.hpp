// Counts the metrics that operators read at /ops/stats: requests by class and outcome, attempts,
// reloads. Owned by GatewayServer, which counts reloads; RequestDispatcher and RequestFinisher
// count requests and attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

enum class RequestOutcome {
  kSuccess,   // answered by a server
  kOverload,  // rejected
  kError      // failed, aborted, or abandoned by its client
};

// The memory of the process, see MemoryBudget.
struct MemoryCounts {
  std::size_t used_bytes = 0;
  std::size_t limit_bytes = 0;
  std::uint64_t rejected_requests = 0;
  std::uint64_t refused_allocations = 0;
  std::uint64_t failed_allocations = 0;
  std::size_t reserve_used_bytes = 0;
};

// Finished requests of one class by outcome. Each accepted request is counted under exactly one.
struct ResponseCounts {
  std::uint64_t success = 0;
  std::uint64_t overload = 0;
  std::uint64_t error = 0;
};

// Endpoints of the list in force.
struct EndpointCounts {
  std::size_t listed = 0;
  std::size_t unavailable = 0;  // draining, or failed and without a response since
};

// What has gone wrong with requests and their connections.
struct RequestCounts {
  std::uint64_t violations = 0;    // see RequestGuard
  std::uint64_t undecided = 0;     // failed because the decision module had not ended them in time
  std::uint64_t crossed_ends = 0;  // see ClientListener
  std::uint64_t dropped_input_segments = 0;  // see ClientListener
};

// Times that the event loop was late, see EventLoopLag.
struct EventLoopCounts {
  std::uint64_t delays = 0;
  Micros max_delay = 0;  // us
};

// Connections to servers.
struct UpstreamCounts {
  ConnectionCounts connections;
  std::size_t owned_attempts = 0;  // attempts with a connection that a request owns
};

enum class ReloadResult { kApplied, kRejected };

class GatewayStats {
 public:
  // Adds metrics for these classes. The metrics of classes that the settings no longer contain
  // stay.
  void add_classes(const std::vector<ClassSettings>& classes);

  // Counts a request in progress. Returns the counts of its class for on_request_finished(); the
  // reference is valid for the lifetime of this object.
  ResponseCounts& on_request_started(const std::string& request_class);
  void on_request_finished(ResponseCounts& counts, RequestOutcome outcome);
  // Counts an attempt, once the last byte of its request has been written.
  void on_attempt_written();
  // A response of which the client has received a part was given up.
  void on_response_aborted(ResponseFault fault) { aborted_responses_.add(fault); }
  // Work was taken up again that an exception had interrupted.
  void on_work_resumed(std::size_t count) { resumed_work_ += count; }
  void on_reload(ReloadResult result);

  // All metrics, one line each: `app.NAME=VALUE`.
  std::string render(const EndpointCounts& endpoints, const UpstreamCounts& upstream,
                     const MemoryCounts& memory, const RequestCounts& requests,
                     const EventLoopCounts& event_loop) const;

 private:
  std::map<std::string, ResponseCounts> responses_by_class_;
  std::uint64_t requests_in_progress_ = 0;
  std::uint64_t attempts_written_ = 0;
  ResponseFaultCounts aborted_responses_;
  std::uint64_t resumed_work_ = 0;
  std::uint64_t reloads_applied_ = 0;
  std::uint64_t reloads_rejected_ = 0;
};

}  // namespace quota_gateway::net
