// Logs requests that ended without a complete response, each with its steps, so that one request
// can be followed by its trace id. Owned by GatewayServer, used by RequestFinisher.
#pragma once

#include <cstdint>
#include <optional>

#include "net/server/request_table.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class FailedRequestLog {
 public:
  // Writing to a log that is read slowly would block the event loop, so there is at most one line
  // in this time.
  static constexpr Micros kMinInterval = 1'000'000;  // us

  // Logs the request unless a line was logged shortly before. A request whose client left before
  // any attempt began is not logged: nothing of it was forwarded.
  void on_failed(const Request& request, Micros now);

 private:
  std::optional<Micros> last_logged_at_;
  std::uint64_t unlogged_ = 0;  // requests since the last line
};

}  // namespace quota_gateway::net
