// The process.request scenario: the latency that a gateway process adds to requests, by listed
// servers, with an unchanged list and while a zone drains.
#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "event_loop_thread.hpp"
#include "measure.hpp"
#include "measurement_recorder.hpp"
#include "process/gateway_environment.hpp"
#include "process/gateway_measurements.hpp"
#include "process/gateway_process.hpp"
#include "process/paced_client.hpp"
#include "process/polling.hpp"
#include "process/process_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 180;
constexpr double kResponseTimeoutS = 10;  // after the last request is due

// Sets all servers of one zone to draining, in slices that are spread over `duration_s`.
void drain_zone(GatewayEnvironment& environment, std::size_t server_count, double duration_s) {
  const std::size_t zone_servers = server_count / kZones;
  const std::size_t slices =
      std::max<std::size_t>(1, (zone_servers + kSliceEntries - 1) / kSliceEntries);
  std::vector<ListedServer> slice;
  for (std::size_t i = 0; i < server_count; i += kZones) {
    slice.push_back(environment.listed_server(i));
    slice.back().phase = Phase::kDraining;
    const bool is_last = i + kZones >= server_count;
    if (slice.size() < kSliceEntries && !is_last) {
      continue;
    }
    environment.publish(slice);
    slice.clear();
    sleep_ms(1e3 * duration_s / double(slices));
  }
}

// Sends a client's requests for `duration_s` while `concurrent_work` runs, and records their
// latency beyond the service time of the server.
class RequestTrial {
 public:
  RequestTrial(MeasurementRecorder recorder, double duration_s)
      : recorder_(std::move(recorder)),
        duration_s_(duration_s),
        requests_(std::size_t(kRequestsPerGatewayPerS * duration_s)) {}

  void run(const MeasuredSizes& sizes, const boost::asio::ip::tcp::endpoint& server,
           const std::function<void()>& concurrent_work) const {
    EventLoopThread thread;
    auto& client =
        thread.emplace<PacedClient>(PacedClientOptions{server, kRequestsPerGatewayPerS, requests_});
    concurrent_work();
    poll_until(duration_s_ + kResponseTimeoutS,
               [&] { return thread.run([&] { return client.is_finished(); }); });
    const auto latencies = thread.run([&] { return client.latencies_ms(); });
    const auto failed = thread.run([&] { return client.failed(); });
    record(sizes, latencies, failed);
  }

 private:
  void record(const MeasuredSizes& sizes, const std::vector<double>& latencies_ms,
              std::size_t failed) const {
    std::vector<double> added_ms;
    added_ms.reserve(latencies_ms.size());
    for (const double latency_ms : latencies_ms) {
      added_ms.push_back(latency_ms - double(kServerServiceTime) / 1e3);
    }
    const std::size_t served = latencies_ms.size();
    recorder_.add("added", sizes, median(added_ms), "ms");
    recorder_.add("added_p99", sizes, p99(added_ms), "ms");
    recorder_.add("served", sizes, 100.0 * double(served) / double(requests_), "%");
    if (served < requests_) {
      recorder_.note(std::to_string(requests_ - served) + " of " + std::to_string(requests_) +
                     " requests were not served (" + std::to_string(failed) +
                     " rejected or failed)");
    }
  }

  MeasurementRecorder recorder_;
  double duration_s_;
  std::size_t requests_;
};

MeasuredSizes sizes_of(std::size_t server_count, double gateways, double changes) {
  return {{"servers", double(server_count)}, {"gateway", gateways}, {"changes", changes}};
}

void measure_point(const Options& options, const MeasurementRecorder& recorder,
                   std::size_t server_count, double duration_s) {
  const auto no_work = [] {};
  const RequestTrial trial(recorder, duration_s);
  GatewayEnvironment environment(server_count);
  // Without a gateway, to show how much of each measurement the client and the servers cause.
  trial.run(sizes_of(server_count, 0, 0), environment.server_address(), no_work);

  const GatewayProcess gateway(
      options.gateway_program,
      environment.gateway_config(GatewayEnvironment::StartingList::kKnown));
  gateway.wait_until_ready(kReadyTimeoutS);
  gateway.wait_until_idle(kIdleTimeoutS);
  const MeasuredSizes unchanged = sizes_of(server_count, 1, 0);
  const double cpu_before = gateway.cpu_ms();
  trial.run(unchanged, gateway.endpoint(), no_work);
  const double cpu = gateway.cpu_ms() - cpu_before;
  recorder.add("cpu", unchanged, cpu / (kRequestsPerGatewayPerS * duration_s) * 1e3,
               "us cpu/request");

  const double drained = std::ceil(double(server_count) / double(kZones));
  trial.run(sizes_of(server_count, 1, drained), gateway.endpoint(),
            [&] { drain_zone(environment, server_count, duration_s / 2); });
}

}  // namespace

void measure_request_delays(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "process.request");
  const double duration_s = options.small ? 0.4 : 6;
  for (const std::size_t server_count : server_counts(options)) {
    if (!budget.is_exhausted()) {
      measure_point(options, recorder, server_count, duration_s);
    }
  }
}

}  // namespace quota_gateway::scale
