#include "module/median_time.hpp"

#include <benchmark/benchmark.h>

#include <vector>

namespace quota_gateway::scale {
namespace {

constexpr int kRepetitions = 5;
constexpr double kSmallRepetitionS = 0.001;
constexpr double kRepetitionS = 0.02;

// Keeps the median and prints nothing.
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

}  // namespace

double median_cpu_us(const Options& options, const std::string& name,
                     const std::function<void()>& work) {
  const auto repeat = [&work](benchmark::State& state) {
    for ([[maybe_unused]] auto iteration : state) {
      work();
    }
  };
  benchmark::ClearRegisteredBenchmarks();
  benchmark::RegisterBenchmark(name.c_str(), repeat)
      ->Unit(benchmark::kMicrosecond)
      ->MinTime(options.small ? kSmallRepetitionS : kRepetitionS)
      ->Repetitions(kRepetitions)
      ->ReportAggregatesOnly(true);
  MedianReporter reporter;
  benchmark::RunSpecifiedBenchmarks(&reporter);
  benchmark::ClearRegisteredBenchmarks();
  return reporter.median_us();
}

}  // namespace quota_gateway::scale
