// Log lines at a bounded rate: one of each kind every five seconds, the others are dropped. Owned
// by the gateway, used by every module that logs.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "policy/event_context.hpp"

namespace quota_gateway::policy {

// The first word of a log line.
enum class LogKind { kEndpoint, kCounter, kCapacity, kRejections };

class LogLimiter {
 public:
  static constexpr Micros kInterval = 5'000'000;  // us between lines of one kind

  // Emits the line "KIND: text", unless one of this kind was emitted less than kInterval ago.
  void log(EventContext& context, LogKind kind, std::string_view text);

 private:
  static constexpr std::size_t kKinds = std::size_t(LogKind::kRejections) + 1;
  std::array<std::optional<Micros>, kKinds> last_logged_at_;
};

}  // namespace quota_gateway::policy
