#include "support/shared_counter_fleet.hpp"

namespace quota_gateway::testing {

SharedCounterFleet::SharedCounterFleet(Settings settings, int gateway_count) {
  settings.gateway_count = gateway_count;
  for (int i = 0; i < gateway_count; ++i) {
    gateways_.emplace_back(settings, make_endpoints({"a", "b", "c"}), std::uint64_t(i + 1));
  }
}

void SharedCounterFleet::send_requests(std::size_t gateway, Micros now, int count) {
  for (int i = 0; i < count; ++i) {
    RequestArrived request = make_request(prefixed_number("r", ++requested_), now);
    request.gateway_subset_size = int(gateways_.size());
    perform(gateway, now, gateways_[gateway].run_timers(now));
    perform(gateway, now, gateways_[gateway].handle(now, {request}));
  }
}

void SharedCounterFleet::perform(std::size_t gateway, Micros now,
                                 const std::vector<Action>& actions) {
  for (const SendAttempt& attempt : attempts(actions)) {
    ++forwarded_;
    on_forwarded(now);
    perform(gateway, now, gateways_[gateway].complete(now, attempt));
  }
  for (const AddToCounter& call : counter_calls(actions)) {
    totals_[call.key] += call.amount;
    if (!counter_replies) {
      continue;
    }
    CounterReply reply = make_counter_reply(call, totals_[call.key]);
    reply.outcome = counter_outcome;
    const Micros replied_at = now + kMillisecond;
    perform(gateway, replied_at, gateways_[gateway].handle(replied_at, {reply}));
  }
}

}  // namespace quota_gateway::testing
