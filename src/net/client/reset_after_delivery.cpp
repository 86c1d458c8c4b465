#include "net/client/reset_after_delivery.hpp"

#include <utility>

#include "net/system_call/send_queue.hpp"
#include "net/system_call/socket_options.hpp"

namespace quota_gateway::net {
namespace {

constexpr Micros kCheckInterval = 5'000;  // us

}  // namespace

void reset_after_delivery(ConnectionToReset connection, Timers& timers, const Clock& clock,
                          Micros give_up_at) {
  const bool may_wait = clock.now() < give_up_at;
  const bool is_delivered = !may_wait || unacknowledged_bytes(connection.socket) == 0;
  if (is_delivered && set_reset_on_close(connection.socket)) {
    return connection.close();
  }
  timers.after(kCheckInterval,
               [connection = std::move(connection), &timers, &clock, give_up_at]() mutable {
                 if (connection.is_current()) {
                   reset_after_delivery(std::move(connection), timers, clock, give_up_at);
                 }
               });
}

}  // namespace quota_gateway::net
