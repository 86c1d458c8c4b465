// The process.endless scenario: the bytes sent to a gateway process and the processor time that it
// uses while its discovery agent sends a list without an end.
#include <algorithm>
#include <cmath>

#include "event_loop_thread.hpp"
#include "measurement_recorder.hpp"
#include "process/endless_list_agent.hpp"
#include "process/gateway_environment.hpp"
#include "process/gateway_process.hpp"
#include "process/polling.hpp"
#include "process/process_slopes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr std::size_t kListedServers = 3;
constexpr double kMinWindowS = 0.5;

// Bytes sent to a gateway and its processor time, up to a time since its start.
struct Usage {
  double at_s = 0;
  double bytes_sent = 0;
  double cpu_ms = 0;
};

void record_window(const MeasurementRecorder& recorder, const Usage& before, const Usage& after,
                   double duration_s) {
  const MeasuredSizes sizes = {{"from_s", before.at_s}, {"to_s", after.at_s}};
  recorder.add("drawn", sizes, (after.bytes_sent - before.bytes_sent) / duration_s, "bytes/s");
  recorder.add("cpu", sizes, (after.cpu_ms - before.cpu_ms) / duration_s, "ms cpu/s");
}

}  // namespace

void measure_endless_list(const Options& options, Report& report) {
  const TimeBudget budget(options, options.small ? 3 : 90);
  const MeasurementRecorder recorder(report, "process.endless");
  const GatewayEnvironment environment(kListedServers);
  EventLoopThread agent_thread;
  const EndlessListAgent& agent = agent_thread.emplace<EndlessListAgent>();
  GatewayConfigOptions config =
      environment.gateway_config(GatewayEnvironment::StartingList::kKnown);
  config.discovery_address = agent.host_port();
  const GatewayProcess gateway(options.gateway_program, config);
  Usage before;
  // Each window is as long as all previous ones together, because only such windows show whether
  // the gateway waits longer and longer between requests.
  for (double window_end_s = 1; !budget.is_exhausted(); window_end_s *= 2) {
    const double window_end_ms = gateway.started_at_ms() + 1e3 * window_end_s;
    poll_until(std::min(budget.seconds_left(), window_end_s),
               [&] { return steady_ms() >= window_end_ms; });
    const double now_s = (steady_ms() - gateway.started_at_ms()) / 1e3;
    if (now_s < before.at_s + kMinWindowS) {
      break;
    }
    Usage after;
    after.at_s = std::round(now_s);
    after.cpu_ms = gateway.cpu_ms();
    after.bytes_sent = double(agent_thread.run([&] { return agent.bytes_sent(); }));
    record_window(recorder, before, after, now_s - before.at_s);
    before = after;
  }
  const MeasuredSizes sizes = {{"to_s", before.at_s}};
  recorder.add("asks", sizes, double(agent_thread.run([&] { return agent.requests(); })), "asks");
  recorder.add("peak", sizes, gateway.peak_resident_mb(), "MB");
  recorder.add("ready", sizes, gateway.is_ready() ? 1 : 0, "of 1");
}

}  // namespace quota_gateway::scale
