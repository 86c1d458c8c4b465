// Drives the decision module through its interface, with servers and a counter that answer in a
// time of its own, and takes the processor time that the module spends. Its clock advances only as
// it is told, so that what a request costs does not depend on what else the machine does. Each
// point of a module slope owns one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "module/module_inputs.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// us from an attempt to its response, of a server that is idle.
constexpr Micros kIdleServiceTime = 20 * kMillisecond;

class LoadDriver {
 public:
  // `seed` draws service times and what the module draws.
  LoadDriver(Settings settings, std::uint64_t seed);

  Gateway& gateway() { return gateway_; }
  Micros now() const { return now_; }
  // Of attempts from now on, in us, give or take a tenth.
  void set_service_time(Micros service_time) { service_time_ = service_time; }

  // Has the module handle the event now, and carries its actions out. Returns the us of processor
  // time that handling took.
  double notify(const Event& event);
  // A request of this tenant arrives now. Returns the us of processor time of its arrival.
  double request(std::size_t tenant);
  // Delivers what is due until `end`, or until that has taken `cpu_budget_us` of processor time;
  // the rest stays due. The clock is at `end` afterwards in both cases.
  void run_until(Micros end, std::optional<double> cpu_budget_us = std::nullopt);

  std::size_t requests() const { return requests_; }
  // Requests that were neither sent nor rejected on arrival.
  std::size_t held_requests() const { return held_requests_; }

  // us of processor time of arrivals and of all that run_until delivered.
  double cpu_us() const { return cpu_us_; }
  // us of processor time of each of the module's periodic maintenances, and of all of them; they
  // are part of cpu_us().
  const std::vector<double>& maintenance_us() const { return maintenance_us_; }
  double total_maintenance_us() const { return total_maintenance_us_; }

 private:
  void deliver(const Event& event);
  void schedule(Micros delay, Event event);
  void on(const SendAttempt& attempt);
  void on(const AddToCounter& call);
  void on(const SetTimer& timer);
  void on(const Reject& action);
  void on(const Fail& action);
  // Responses come all the same; none is slow enough for its attempt to be cancelled.
  void on(const CancelAttempt& /*action*/) {}
  void on(const SendHealthCheck& /*action*/) {}
  void on(const LogLine& /*action*/) {}

  Gateway gateway_;
  std::mt19937_64 random_;
  Micros now_ = kSecond;
  Micros service_time_ = kIdleServiceTime;
  std::vector<Action> actions_;
  std::multimap<Micros, Event> due_events_;
  std::unordered_map<std::string, int> attempts_by_request_;
  std::unordered_map<std::int64_t, double> counter_totals_;
  std::size_t requests_ = 0;
  std::size_t held_requests_ = 0;
  int sent_on_arrival_ = 0;
  int rejected_on_arrival_ = 0;
  double cpu_us_ = 0;
  std::vector<double> maintenance_us_;
  double total_maintenance_us_ = 0;
};

// A driver of a module that knows this many servers, as one of so many gateways.
LoadDriver driver_with_servers(std::uint64_t seed, std::size_t servers, std::size_t gateways);

}  // namespace quota_gateway::scale
