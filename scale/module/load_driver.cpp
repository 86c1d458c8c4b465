#include "module/load_driver.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "measure.hpp"

namespace quota_gateway::scale {
namespace {

constexpr Micros kCounterReplyTime = 500;  // us
constexpr Micros kRequestLifetime = 4 * kSecond;
constexpr int kGatewaysPerTenant = 3;  // that the requests of one tenant are spread over
constexpr std::size_t kGatewaySubsetStarts = 100;  // distinct subset starts among the tenants
// Service times vary by up to 10 percent, because no two servers are equally fast.
constexpr double kMinServiceTimeFactor = 0.9;
constexpr double kMaxServiceTimeFactor = 1.1;
// The token of the module's timer for periodic maintenance.
constexpr std::int64_t kMaintenanceTimer = 0;

bool is_maintenance(const Event& event) {
  const auto* timer = std::get_if<TimerFired>(&event);
  return timer != nullptr && timer->token == kMaintenanceTimer;
}

}  // namespace

LoadDriver::LoadDriver(Settings settings, std::uint64_t seed)
    : gateway_(std::move(settings), seed), random_(seed) {}

double LoadDriver::notify(const Event& event) {
  const std::vector<Event> events{event};
  actions_.clear();
  const double cpu_us = thread_cpu_us_of([&] { gateway_.handle(now_, events, actions_); });
  for (const Action& action : actions_) {
    std::visit([this](const auto& alternative) { on(alternative); }, action);
  }
  return cpu_us;
}

double LoadDriver::request(std::size_t tenant) {
  RequestArrived request;
  request.id = numbered_name("r", ++requests_);
  request.customer = numbered_name("tenant-", tenant);
  request.plan = kPlanName;
  request.request_class = kClassName;
  request.deadline = now_ + kRequestLifetime;
  request.gateway_subset_size = kGatewaysPerTenant;
  request.gateway_subset_start = int(tenant % kGatewaySubsetStarts);
  sent_on_arrival_ = 0;
  rejected_on_arrival_ = 0;
  const double cpu_us = notify(request);
  cpu_us_ += cpu_us;
  if (sent_on_arrival_ == 0 && rejected_on_arrival_ == 0) {
    ++held_requests_;
  }
  return cpu_us;
}

void LoadDriver::run_until(Micros end, std::optional<double> cpu_budget_us) {
  const double cpu_before = cpu_us_;
  while (!due_events_.empty() && due_events_.begin()->first <= end) {
    if (cpu_budget_us && cpu_us_ - cpu_before >= *cpu_budget_us) {
      break;
    }
    const auto next = due_events_.extract(due_events_.begin());
    now_ = std::max(now_, next.key());
    deliver(next.mapped());
  }
  now_ = std::max(now_, end);
}

void LoadDriver::deliver(const Event& event) {
  if (const auto* completed = std::get_if<AttemptCompleted>(&event)) {
    attempts_by_request_.erase(completed->id);
  }
  const double cpu_us = notify(event);
  cpu_us_ += cpu_us;
  if (is_maintenance(event)) {
    maintenance_us_.push_back(cpu_us);
    total_maintenance_us_ += cpu_us;
  }
}

void LoadDriver::schedule(Micros delay, Event event) {
  due_events_.emplace(now_ + delay, std::move(event));
}

void LoadDriver::on(const SendAttempt& attempt) {
  ++sent_on_arrival_;
  std::uniform_real_distribution<double> spread(kMinServiceTimeFactor, kMaxServiceTimeFactor);
  AttemptCompleted completed;
  completed.id = attempt.id;
  completed.server = attempt.server;
  completed.attempt = attempts_by_request_[attempt.id]++;
  completed.duration = Micros(double(service_time_) * spread(random_));
  completed.request_answered = true;
  schedule(completed.duration, completed);
}

void LoadDriver::on(const AddToCounter& call) {
  double& total = counter_totals_[call.key];
  total += call.amount;
  CounterReply reply;
  reply.key = call.key;
  reply.total = total;
  reply.outcome = CounterOutcome::kOk;
  reply.duration = kCounterReplyTime;
  schedule(kCounterReplyTime, reply);
}

void LoadDriver::on(const SetTimer& timer) {
  due_events_.emplace(std::max(timer.at, now_), TimerFired{timer.token});
}

void LoadDriver::on(const Reject& /*action*/) {
  ++rejected_on_arrival_;
}

void LoadDriver::on(const Fail& /*action*/) {
  ++rejected_on_arrival_;
}

LoadDriver driver_with_servers(std::uint64_t seed, std::size_t servers, std::size_t gateways) {
  LoadDriver driver(module_settings(gateways), seed);
  driver.notify(complete_list(servers));
  return driver;
}

}  // namespace quota_gateway::scale
