#include "module/median_time.hpp"

#include <benchmark/benchmark.h>

#include <vector>

namespace quota_gateway::scale {
namespace {

constexpr int kRepetitions = 5;
constexpr double kSmallRepetitionS = 0.001;
constexpr double kRepetitionS = 0.02;

// Records the median of the repetitions and prints nothing.
class MedianReporter : public benchmark::BenchmarkReporter {
 public:
  bool ReportContext(const Context& /*context*/) override { return true; }
  void ReportRuns(const std::vector<Run>& runs) override {
    for (const Run& run : runs) {
      if (run.aggregate_name == "median") {
        median_us_ = run.GetAdjustedCPUTime();
      }
    }
  }
  double median_us() const { return median_us_; }

 private:
  double median_us_ = 0;
};

// The operation that run_measured_work() measures; null unless a measurement is running.
const std::function<void()>* measured_work = nullptr;

void run_measured_work(benchmark::State& state) {
  for ([[maybe_unused]] auto iteration : state) {
    (*measured_work)();
  }
}

// Google Benchmark keeps one list of benchmarks for the process, so a single one is registered and
// used for all measurements.
benchmark::internal::Benchmark* const kBenchmark =
    benchmark::RegisterBenchmark("measured_work", run_measured_work)
        ->Unit(benchmark::kMicrosecond)
        ->Repetitions(kRepetitions)
        ->ReportAggregatesOnly(true);

}  // namespace

double median_cpu_us(const Options& options, const std::function<void()>& work) {
  kBenchmark->MinTime(options.small ? kSmallRepetitionS : kRepetitionS);
  MedianReporter reporter;
  measured_work = &work;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  measured_work = nullptr;
  return reporter.median_us();
}

}  // namespace quota_gateway::scale
