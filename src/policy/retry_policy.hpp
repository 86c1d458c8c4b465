// Decides which further attempts a request may have: at which endpoints, how many, and whether the
// retry budget of the gateway allows them. Owned by the gateway and used by the modules that send
// attempts and end requests.
#pragma once

#include <optional>

#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class RetryPolicy {
 public:
  // `settings` must outlive this object; changes to it take effect immediately.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  // Whether the limit on attempts per request allows one more.
  bool has_attempts_left(const Request& request) const;

  // Whether the next attempt may go to this endpoint: no earlier attempt was sent there, and the
  // request cannot run twice because of an earlier attempt that may have run.
  bool may_send_to(Micros now, const Request& request, const Endpoint& endpoint) const;

  // The time before which the next attempt must be written: the end of the dedup windows that its
  // earlier attempts opened. Empty if no earlier attempt limits it.
  std::optional<Micros> write_before(const Request& request) const;

  // Whether the request may be rejected, which tells the client that the request had no effect or
  // may be sent again. Otherwise the request must be answered as failed.
  static bool may_reject(const Request& request);

  // Whether a request of this class may run on two endpoints without harm.
  static bool is_repeatable(const RequestClass& request_class);

  // The retry budget limits the load that retries add when endpoints fail: each first attempt adds
  // a tenth of a retry, up to kMaxRetryBudget saved retries.
  void on_first_attempt();
  bool can_afford_retry() const { return retry_budget_ >= 1; }
  void spend_retry() { retry_budget_ -= 1; }

 private:
  static constexpr double kMaxRetryBudget = 10;  // retries

  Micros dedup_window_end(const RequestClass& request_class, const Attempt& attempt) const;

  const Settings& settings_;
  double retry_budget_ = kMaxRetryBudget;
};

}  // namespace quota_gateway::policy
