// Drives the decision module through its public interface: simulates requests, servers and a
// counter on a virtual clock, and measures the processor time that the module uses. The clock
// advances only in run_until(), so that measured costs do not depend on other load on the machine.
// Each point of a module scenario owns one driver.
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

// Time from an attempt to the response of an idle server, in us.
constexpr Micros kIdleServiceTime = 20 * kMillisecond;

class LoadDriver {
 public:
  // `seed` seeds the random service times and the random numbers of the module.
  LoadDriver(Settings settings, std::uint64_t seed);

  Gateway& gateway() { return gateway_; }
  Micros now() const { return now_; }
  // Sets the service time of attempts from now on, in us; each varies by up to 10 percent.
  void set_service_time(Micros service_time) { service_time_ = service_time; }

  // Passes the event to the module at the current time and carries out the actions of the module.
  // Returns the processor time in us that the module used.
  double notify(const Event& event);
  // Simulates the arrival of a request of this tenant, a customer of the gateway. Returns the
  // processor time of the arrival in us.
  double request(std::size_t tenant);
  // Delivers the events that are due up to `end`. If that uses up `cpu_budget_us` of processor
  // time, the remaining events stay due. The clock is at `end` afterwards in both cases.
  void run_until(Micros end, std::optional<double> cpu_budget_us = std::nullopt);

  std::size_t requests() const { return requests_; }
  // Requests that were neither sent nor rejected on arrival.
  std::size_t held_requests() const { return held_requests_; }

  // Processor time in us of all arrivals and of all events that run_until() delivered.
  double cpu_us() const { return cpu_us_; }
  // Processor time in us of each run of the module's periodic maintenance, and of all runs
  // together. Both are included in cpu_us().
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
  // Ignored, so that the response still arrives: no simulated server is slow enough for the module
  // to cancel an attempt.
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

// Creates a driver of a module that has a list of `servers` servers and is one of `gateways`
// gateways.
LoadDriver driver_with_servers(std::uint64_t seed, std::size_t servers, std::size_t gateways);

}  // namespace quota_gateway::scale
