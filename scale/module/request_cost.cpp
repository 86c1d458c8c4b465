// The module.request scenario: what a request costs the decision module, with idle servers and with
// servers at capacity.
#include <algorithm>
#include <random>
#include <string>

#include "measure.hpp"
#include "measurement_recorder.hpp"
#include "module/load_driver.hpp"
#include "module/module_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 240;
// Service time of a server at capacity, in us; that of an idle server is kIdleServiceTime.
constexpr Micros kFullServiceTime = 100 * kMillisecond;
// Time with servers at capacity after which the number of held requests no longer grows, in us.
constexpr Micros kSettleTime = kSecond;
// Requests sent before measuring, until the first counter totals and responses have arrived.
constexpr std::size_t kWarmupRequests = 60;
constexpr std::size_t kMinRequests = 10;
// If the median and the 99th percentile are taken from fewer requests, the report notes it.
constexpr std::size_t kMinPercentileRequests = 100;

enum class ServerLoad { kIdle, kFull };

struct RequestPoint {
  std::size_t servers = 0;
  std::size_t gateways = 0;
  ServerLoad load = ServerLoad::kIdle;
};

// Returns the time between requests in us. With full servers, the rate is twice the capacity of
// this gateway's share of the servers and at least the operators' target rate, so that requests are
// held. With idle servers, the rate is at most half of the capacity of that share.
Micros request_interval(const RequestPoint& point) {
  const double own_servers = 2.0 * double(point.servers) / double(point.gateways);
  const bool full = point.load == ServerLoad::kFull;
  const double service_s = double(full ? kFullServiceTime : kIdleServiceTime) / double(kSecond);
  const double rate = full ? std::max(kRequestsPerGatewayPerS, 2 * (own_servers + 2) / service_s)
                           : std::min(kRequestsPerGatewayPerS, 0.5 * own_servers / service_s);
  return std::max<Micros>(1, Micros(double(kSecond) / rate));
}

class RequestTrial {
 public:
  RequestTrial(const Options& options, const RequestPoint& point)
      : point_(point),
        cpu_budget_us_(options.small ? 0.3e6 : 3e6),
        max_requests_(options.small ? 200 : 2'000),
        interval_(request_interval(point)),
        random_(options.seed),
        driver_(driver_with_servers(options.seed, point.servers, point.gateways)) {}

  void measure(const MeasurementRecorder& recorder, const TimeBudget& budget) {
    for (std::size_t i = 0; i < kWarmupRequests; ++i) {
      next_request(std::nullopt);
    }
    if (point_.load == ServerLoad::kFull) {
      settle_at_full_servers();
    }
    const double cpu_before = driver_.cpu_us();
    const double maintenance_before = driver_.total_maintenance_us();
    const std::size_t held_before = driver_.held_requests();
    send_requests(budget);
    const double maintenance_us = driver_.total_maintenance_us() - maintenance_before;
    requests_us_ = driver_.cpu_us() - cpu_before - maintenance_us;
    held_ = driver_.held_requests() - held_before;
    record(recorder);
  }

 private:
  // Advances the clock by the request interval and sends a request. Returns the processor time of
  // its arrival in us.
  double next_request(std::optional<double> cpu_budget_us) {
    driver_.run_until(driver_.now() + interval_, cpu_budget_us);
    return driver_.request(random_() % kTenantsPerGateway);
  }

  void settle_at_full_servers() {
    driver_.set_service_time(kFullServiceTime);
    const Micros end = driver_.now() + kSettleTime;
    double budget_left_us = 3 * cpu_budget_us_;
    while (driver_.now() < end && settled_) {
      const double cpu_before = driver_.cpu_us();
      next_request(budget_left_us);
      budget_left_us -= driver_.cpu_us() - cpu_before;
      settled_ = budget_left_us > 0;
    }
  }

  void send_requests(const TimeBudget& budget) {
    const double cpu_before = driver_.cpu_us();
    while (arrivals_us_.size() < max_requests_ && !budget.is_exhausted()) {
      const bool cpu_left = driver_.cpu_us() - cpu_before < cpu_budget_us_;
      if (arrivals_us_.size() >= kMinRequests && !cpu_left) {
        return;
      }
      arrivals_us_.push_back(next_request(cpu_budget_us_));
    }
  }

  void record(const MeasurementRecorder& recorder) const {
    const bool full = point_.load == ServerLoad::kFull;
    const MeasuredSizes sizes = {{"servers", double(point_.servers)},
                                 {"gateways", double(point_.gateways)},
                                 {"full", full ? 1.0 : 0.0}};
    const auto requests = double(std::max<std::size_t>(1, arrivals_us_.size()));
    recorder.add("arrival", sizes, median(arrivals_us_), "us");
    recorder.add("arrival_p99", sizes, p99(arrivals_us_), "us");
    recorder.add("request", sizes, requests_us_ / requests, "us");
    recorder.add("held", sizes, 100.0 * double(held_) / requests, "%");
    if (!full) {
      recorder.add("look", sizes, median(driver_.maintenance_us()), "us");
    }
    if (arrivals_us_.size() < kMinPercentileRequests || !settled_) {
      note_shortfall(recorder);
    }
  }

  void note_shortfall(const MeasurementRecorder& recorder) const {
    recorder.note("at " + std::to_string(point_.servers) + " servers, " +
                  std::to_string(point_.gateways) + " gateways, " +
                  (point_.load == ServerLoad::kFull ? "full" : "idle") + ": time ran out after " +
                  std::to_string(arrivals_us_.size()) + " requests" +
                  (settled_ ? "" : ", before the number of held requests stopped growing"));
  }

  const RequestPoint point_;
  const double cpu_budget_us_;
  const std::size_t max_requests_;
  const Micros interval_;
  std::mt19937_64 random_;
  LoadDriver driver_;
  bool settled_ = true;  // whether the number of held requests no longer grows
  std::vector<double> arrivals_us_;
  double requests_us_ = 0;  // of all events except periodic maintenance
  std::size_t held_ = 0;
};

// Measures a point and discards the result, so that the first reported point does not include the
// cost of cold caches and a low processor frequency.
void warm_up(const Options& options, const TimeBudget& budget) {
  Report discarded(nullptr);
  const RequestPoint point = {server_counts(options).front(),
                              module_gateway_counts(options).front(), ServerLoad::kIdle};
  RequestTrial(options, point).measure(MeasurementRecorder(discarded, ""), budget);
}

}  // namespace

void measure_module_requests(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "module.request");
  warm_up(options, budget);
  for (const std::size_t gateways : module_gateway_counts(options)) {
    for (const std::size_t servers : server_counts(options)) {
      for (const ServerLoad load : {ServerLoad::kIdle, ServerLoad::kFull}) {
        if (!budget.is_exhausted()) {
          RequestTrial(options, {servers, gateways, load}).measure(recorder, budget);
        }
      }
    }
  }
  recorder.fit({"arrival", "arrival_p99", "request", "look"}, "servers", double(Target{}.servers));
}

}  // namespace quota_gateway::scale
