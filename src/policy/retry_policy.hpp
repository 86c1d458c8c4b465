// Which further attempts a request may have: where they may go, how many, and whether the gateway
// can afford them. Owned by the gateway, asked by the modules that send attempts and end requests.
#pragma once

#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class RetryPolicy {
 public:
  // `settings` must outlive this object; changes to them take effect at once.
  explicit RetryPolicy(const Settings& settings) : settings_(settings) {}

  // Whether the limit on a request's attempts allows one more.
  bool has_attempts_left(const Request& request) const;

  // Whether the next attempt may go to this endpoint: the request was not sent there yet, and no
  // earlier attempt can make it run twice.
  bool may_send_to(Micros now, const Request& request, const Endpoint& endpoint) const;

  // Whether the request may be rejected, which tells the client that it had no effect or that it
  // may be sent again. If not, it fails.
  static bool may_reject(const Request& request);

  // Whether it does no harm to run a request of this class on two endpoints.
  static bool is_repeatable(const RequestClass& request_class);

  // The retry budget bounds the load that retries add when endpoints fail: each first attempt earns
  // a tenth of a retry, and only a few can be saved up.
  void on_first_attempt();
  bool can_afford_retry() const { return retry_budget_ >= 1; }
  void spend_retry() { retry_budget_ -= 1; }

 private:
  static constexpr double kMaxRetryBudget = 10;  // attempts

  bool dedup_window_covers(Micros now, const RequestClass& request_class,
                           const Attempt& attempt) const;

  const Settings& settings_;
  double retry_budget_ = kMaxRetryBudget;
};

}  // namespace quota_gateway::policy
