#include "policy/hold_queue.hpp"

#include <algorithm>

#include "policy/attempt_sender.hpp"
#include "policy/endpoints/load_balancer.hpp"
#include "policy/log_limiter.hpp"
#include "policy/request_finisher.hpp"
#include "policy/request_table.hpp"
#include "policy/timer_table.hpp"

namespace quota_gateway::policy {
namespace {

constexpr double kMaxHoldFraction = 0.25;  // of the latency objective
// Expected response times that are left when a held request is sent.
constexpr double kMinTimeLeftFactor = 1.5;

}  // namespace

HoldQueue::HoldQueue(const Settings& settings, RequestTable& requests, TimerTable& timers,
                     LogLimiter& log, LoadBalancer& load_balancer, AttemptSender& sender,
                     RequestFinisher& finisher)
    : settings_(settings),
      requests_(requests),
      timers_(timers),
      log_(log),
      load_balancer_(load_balancer),
      sender_(sender),
      finisher_(finisher) {}

void HoldQueue::send_or_hold(EventContext& context, Request& request) {
  // Capacity becomes available over time. While requests are held, a new request joins the queue:
  // sent directly, the first one to arrive after an idle moment would take the capacity from held
  // requests of higher priority.
  const bool held_requests_first = !request.over_quota && !request_ids_.empty();
  if (!held_requests_first && sender_.send(context, request)) {
    return;
  }
  if (!request.over_quota) {
    enqueue(context, request);
    return;
  }
  finisher_.reject_or_fail(context, request);
  requests_.erase_if_unused(request);
}

void HoldQueue::enqueue(EventContext& context, Request& request) {
  request.held = true;
  const auto position = std::upper_bound(request_ids_.begin(), request_ids_.end(), request.priority,
                                         [this](double priority, const std::string& id) {
                                           return priority > requests_.at(id).priority;
                                         });
  request_ids_.insert(position, request.id);
  log_.log(context, LogKind::kCapacity, "no endpoint has capacity; requests are held or rejected");
  request.hold_until = hold_until(context.now, request);
  timers_.arm(context, request, HoldTimeout{}, request.hold_until);
}

void HoldQueue::dispatch_ready(EventContext& context) {
  if (request_ids_.empty()) {
    return;
  }
  std::vector<std::string> still_held;
  double work_ahead = 0;  // us; sum of the expected response times of the requests still held
  for (const std::string& id : request_ids_) {
    Request& request = requests_.at(id);
    request.held = false;
    if (!request.done && !sender_.send(context, request)) {
      // Rejects the request now if the requests ahead of it are expected to take longer than its
      // remaining hold time; holding it would only delay the rejection.
      const double expected_send_at =
          double(context.now) + work_ahead / load_balancer_.in_flight_limit();
      if (expected_send_at < double(request.hold_until)) {
        work_ahead += request.expected_response_time;
        request.held = true;
        still_held.push_back(id);
        continue;
      }
      finisher_.reject_or_fail(context, request);
    }
    requests_.erase_if_unused(request);
  }
  request_ids_.swap(still_held);
}

Micros HoldQueue::hold_until(Micros now, const Request& request) const {
  const Micros time_left =
      std::max(settings_.clock_tick, Micros(kMinTimeLeftFactor * request.expected_response_time));
  const Micros objective = request.request_class->settings.latency_objective;
  const auto max_hold = Micros(kMaxHoldFraction * double(objective));
  // The hold time of a first attempt counts from the arrival of the request, that of a retry from
  // now.
  const Micros held_since = request.is_first_attempt() ? request.arrived_at : now;
  return std::min(request.give_up_at - time_left, held_since + max_hold);
}

}  // namespace quota_gateway::policy
