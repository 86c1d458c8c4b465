// How the counter's memory and the cost of a call grow with the names that it keeps.
#include <string>

#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fleet/counter_load.hpp"
#include "fleet/fleet_slopes.hpp"
#include "fleet_scenario.hpp"
#include "measurement_recorder.hpp"
#include "process_resources.hpp"

namespace quota_gateway::scale {
namespace {

constexpr const char* kScenario = "fleet.names";
constexpr double kDefaultSeconds = 60;
constexpr Micros kPollInterval = 2'000;  // us
// Measured, and rounded up, in bytes.
constexpr double kBaseMemory = 20e6;
constexpr double kMemoryPerName = 400;

std::size_t most_names(const Options& options) {
  return options.small ? 8'000 : Target{}.tenants;
}

// A counter and its load, on a thread each.
class NameTrial {
 public:
  NameTrial(const MeasurementRecorder& recorder, const ScenarioDeadline& deadline)
      : recorder_(recorder),
        deadline_(deadline),
        counter_(counter_thread_.emplace<FakeCounter>(FakeCounter::Options{})),
        load_(load_thread_.emplace<CounterLoad>(counter_.address())) {}

  // So that the first point does not pay for the connection.
  void connect() {
    call(0, 1);
    allocated_before_ = allocated_bytes();
  }

  // Calls each of these names once and records what that took. Whether there was time for it.
  bool measure(std::int64_t first_name, std::int64_t end_name) {
    const Micros cpu_before = counter_thread_.cpu_time();
    if (!call(first_name, end_name)) {
      recorder_.note("out of time at " + std::to_string(end_name) + " names");
      return false;
    }
    const auto counts = counter_thread_.run([&] { return counter_.counts(); });
    const MeasuredSizes sizes = {{"names", double(counts.keys)}};
    const auto cpu = double(counter_thread_.cpu_time() - cpu_before);
    recorder_.add("counter_cpu", sizes, cpu / double(end_name - first_name), "us/call");
    const auto allocated = double(allocated_bytes() - allocated_before_);
    recorder_.add("counter_memory", sizes, allocated / 1e6, "MB");
    const std::int64_t failed = load_thread_.run([&] { return load_.failed(); });
    if (failed > 0) {
      recorder_.note(std::to_string(failed) + " calls failed");
    }
    return true;
  }

 private:
  // Whether all calls were replied to before the time was up.
  bool call(std::int64_t first_name, std::int64_t end_name) {
    load_thread_.run([&] { load_.run(first_name, end_name); });
    const std::int64_t calls = end_name - first_name;
    while (load_thread_.run([&] { return load_.replies(); }) < calls) {
      if (deadline_.remaining() == 0) {
        return false;
      }
      sleep_for(kPollInterval);
    }
    return true;
  }

  const MeasurementRecorder& recorder_;
  const ScenarioDeadline& deadline_;
  EventLoopThread counter_thread_;
  EventLoopThread load_thread_;
  FakeCounter& counter_;
  CounterLoad& load_;
  std::uint64_t allocated_before_ = 0;
};

void run(const Options& options, Report& report) {
  const MeasurementRecorder recorder(report, kScenario);
  const ScenarioDeadline deadline(options, kDefaultSeconds);
  NameTrial trial(recorder, deadline);
  trial.connect();
  std::int64_t first_name = 1;
  for (const std::size_t divisor : {64, 16, 4, 1}) {
    const auto end_name = std::int64_t(most_names(options) / divisor);
    if (!trial.measure(first_name, end_name)) {
      return;
    }
    first_name = end_name;
  }
  recorder.fit({"counter_cpu", "counter_memory"}, "names", double(Target{}.tenants));
}

std::uint64_t memory(const Options& options) {
  return std::uint64_t(double(most_names(options)) * kMemoryPerName + kBaseMemory);
}

}  // namespace

Scenario counter_name_scenario() {
  return {kScenario, "the counter by live names", memory, run};
}

}  // namespace quota_gateway::scale
