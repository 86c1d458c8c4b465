// Limits log lines to one of each kind every five seconds and drops the others. Owned by the
// gateway and used by every module that logs.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "policy/event_context.hpp"

namespace quota_gateway::policy {

// Kind of a log line, which determines its prefix.
enum class LogKind { kEndpoint, kCounter, kCapacity, kRejections };

class LogLimiter {
 public:
  static constexpr Micros kInterval = 5'000'000;  // us; minimum between two lines of one kind

  // Emits the line "KIND: text", unless a line of this kind was emitted less than kInterval ago.
  void log(EventContext& context, LogKind kind, std::string_view text);

 private:
  static constexpr std::size_t kKinds = std::size_t(LogKind::kRejections) + 1;
  std::array<std::optional<Micros>, kKinds> last_logged_at_;
};

}  // namespace quota_gateway::policy
