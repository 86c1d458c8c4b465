// The fleet.names scenario: the counter's memory and the processor time of a call by live keys.
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
// In bytes, rounded up.
constexpr double kBaseBytes = 20e6;
constexpr double kBytesPerKey = 400;

std::size_t max_keys(const Options& options) {
  return options.small ? 8'000 : Target{}.tenants;
}

// Measures a counter under load; the counter and the load have a thread each.
class KeyTrial {
 public:
  KeyTrial(const MeasurementRecorder& recorder, const ScenarioDeadline& deadline)
      : recorder_(recorder),
        deadline_(deadline),
        counter_(counter_thread_.emplace<FakeCounter>(FakeCounter::Options{})),
        load_(load_thread_.emplace<CounterLoad>(counter_.address())) {}

  // Connects, so that the first point does not include the cost of the connection.
  void connect() {
    call(0, 1);
    allocated_before_ = allocated_bytes();
  }

  // Calls each of these keys once and records the cost. Returns false if the deadline passed before
  // that.
  bool measure(std::int64_t first_key, std::int64_t end_key) {
    const Micros cpu_before = counter_thread_.cpu_time();
    if (!call(first_key, end_key)) {
      recorder_.note("time ran out at " + std::to_string(end_key) + " keys");
      return false;
    }
    const auto counts = counter_thread_.run([&] { return counter_.counts(); });
    const MeasuredSizes sizes = {{"names", double(counts.keys)}};
    const auto cpu = double(counter_thread_.cpu_time() - cpu_before);
    recorder_.add("counter_cpu", sizes, cpu / double(end_key - first_key), "us/call");
    const auto allocated = double(allocated_bytes() - allocated_before_);
    recorder_.add("counter_memory", sizes, allocated / 1e6, "MB");
    const std::int64_t failed = load_thread_.run([&] { return load_.failed(); });
    if (failed > 0) {
      recorder_.note(std::to_string(failed) + " calls failed");
    }
    return true;
  }

 private:
  // Returns whether all calls got a reply before the deadline.
  bool call(std::int64_t first_key, std::int64_t end_key) {
    load_thread_.run([&] { load_.run(first_key, end_key); });
    const std::int64_t calls = end_key - first_key;
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
  KeyTrial trial(recorder, deadline);
  trial.connect();
  std::int64_t first_key = 1;
  for (const std::size_t divisor : {64, 16, 4, 1}) {
    const auto end_key = std::int64_t(max_keys(options) / divisor);
    if (!trial.measure(first_key, end_key)) {
      return;
    }
    first_key = end_key;
  }
  recorder.fit({"counter_cpu", "counter_memory"}, "names", double(Target{}.tenants));
}

std::uint64_t memory(const Options& options) {
  return std::uint64_t(double(max_keys(options)) * kBytesPerKey + kBaseBytes);
}

}  // namespace

Scenario counter_key_scenario() {
  return {kScenario, "memory and processor time of the counter by live keys", memory, run};
}

}  // namespace quota_gateway::scale
