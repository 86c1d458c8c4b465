// Counts what the operators read at /ops/stats: requests by class and outcome, attempts, reloads.
// Owned by GatewayServer; RequestDispatcher counts requests and attempts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

enum class RequestOutcome {
  kSuccess,   // answered by a server
  kOverload,  // rejected
  kError      // failed, broken off, or abandoned by its client
};

// Of the requests of one class that have ended. Each accepted request ends in exactly one of them.
struct ResponseCounts {
  std::uint64_t success = 0;
  std::uint64_t overload = 0;
  std::uint64_t error = 0;
};

// Of the endpoint list that is in force.
struct EndpointCounts {
  std::size_t listed = 0;
  std::size_t unavailable = 0;
};

enum class ReloadResult { kApplied, kRejected };

class GatewayStats {
 public:
  // Has a line for each of these classes from now on. Lines of classes that the settings no longer
  // name stay.
  void add_classes(const std::vector<ClassSettings>& classes);

  // Returns the counts in which the request must end, see on_request_finished(). The reference
  // stays valid as long as this object.
  ResponseCounts& on_request_started(const std::string& request_class);
  void on_request_finished(ResponseCounts& counts, RequestOutcome outcome);
  // An attempt's last byte has been written.
  void on_attempt_written();
  void on_reload(ReloadResult result);

  // One line a figure, `app.NAME=VALUE`.
  std::string render(const EndpointCounts& endpoints) const;

 private:
  std::map<std::string, ResponseCounts> responses_by_class_;
  std::uint64_t requests_in_progress_ = 0;
  std::uint64_t attempts_written_ = 0;
  std::uint64_t reloads_applied_ = 0;
  std::uint64_t reloads_rejected_ = 0;
};

}  // namespace quota_gateway::net
