// Logs requests that ended without a complete response, each with its steps, so that one request
// can be followed by its trace id. Owned by GatewayServer, used by RequestFinisher.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "net/server/request_table.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class FailedRequestLog {
 public:
  // Writing to a log that is read slowly would block the event loop, so there is at most one line
  // of each kind in this time. Clients that leave do not hide requests that the gateway failed.
  static constexpr Micros kMinInterval = 1'000'000;  // us

  // Logs the request unless a line of the same kind was logged shortly before. A request whose
  // client left before any attempt began is not logged: nothing of it was forwarded.
  void on_failed(const Request& request, Micros now);

 private:
  enum class Kind : std::uint8_t { kClientLeft, kFailed, kAborted };
  static constexpr std::size_t kKinds = std::size_t(Kind::kAborted) + 1;
  struct Lines {
    std::optional<Micros> last_logged_at;
    std::uint64_t unlogged = 0;  // requests since the last line
  };

  static Kind kind_of(const RequestTimeline& timeline);

  std::array<Lines, kKinds> lines_{};
};

}  // namespace quota_gateway::net
