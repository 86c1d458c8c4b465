// Scenarios module.list, module.classes and module.tenants: memory and processor time of the
// decision module by the numbers of listed servers, classes and tenants.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "measure.hpp"
#include "measurement_recorder.hpp"
#include "module/load_driver.hpp"
#include "module/median_time.hpp"
#include "module/module_slopes.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kDefaultSeconds = 120;
constexpr std::size_t kServers = 200;  // listed where classes or tenants vary
// Long enough for all responses to arrive and for periodic maintenance to run several times.
constexpr Micros kQuiesceTime = 4 * kSecond;

void measure_list(const Options& options, const MeasurementRecorder& recorder,
                  std::size_t servers) {
  const MeasuredSizes sizes = {{"servers", double(servers)}};
  const EndpointListUpdate list = complete_list(servers);
  const double heap_before = heap_in_use_mb();
  LoadDriver driver(module_settings(max_module_gateways(options)), options.seed);
  recorder.add("list_first", sizes, driver.notify(list) / 1e3, "ms");
  recorder.add("memory", sizes, heap_in_use_mb() - heap_before, "MB");
  const double list_again_us = median_cpu_us(options, [&] { driver.notify(list); });
  recorder.add("list_again", sizes, list_again_us / 1e3, "ms");
  recorder.add("memory_after", sizes, heap_in_use_mb() - heap_before, "MB");
  const double avoided_us = median_cpu_us(
      options, [&] { benchmark::DoNotOptimize(driver.gateway().unavailable_endpoints()); });
  recorder.add("avoided", sizes, avoided_us, "us");
}

// Returns the processor time of a change of the settings. Alternates between two settings that
// differ in one class, so that each event is a change.
double measure_settings_change_us(const Options& options, LoadDriver& driver, std::size_t classes) {
  SettingsChanged settings{module_settings(max_module_gateways(options), classes)};
  SettingsChanged changed = settings;
  changed.settings.classes[classes / 2].latency_objective += kMillisecond;
  const std::array<Event, 2> events = {std::move(settings), std::move(changed)};
  std::size_t turn = 0;
  return median_cpu_us(options, [&] {
    ++turn;
    driver.notify(events.at(turn % events.size()));
  });
}

void measure_classes(const Options& options, const MeasurementRecorder& recorder,
                     std::size_t classes) {
  const MeasuredSizes sizes = {{"classes", double(classes)}};
  const double heap_before = heap_in_use_mb();
  LoadDriver driver(module_settings(max_module_gateways(options), classes), options.seed);
  recorder.add("memory", sizes, heap_in_use_mb() - heap_before, "MB");
  driver.notify(complete_list(kServers));
  const double change_us = measure_settings_change_us(options, driver, classes);
  recorder.add("settings_change", sizes, change_us / 1e3, "ms");
  recorder.add("memory_after", sizes, heap_in_use_mb() - heap_before, "MB");
}

void measure_tenants(const Options& options, const MeasurementRecorder& recorder,
                     std::size_t tenants, const TimeBudget& budget) {
  const MeasuredSizes sizes = {{"tenants", double(tenants)}};
  LoadDriver driver = driver_with_servers(options.seed, kServers, max_module_gateways(options));
  const double heap_before = heap_in_use_mb();
  // All requests arrive within a second of the driver's clock, because the module forgets a tenant
  // that sends no requests for a long time.
  const Micros interval = std::max<Micros>(1, kSecond / Micros(tenants));
  std::vector<double> arrivals_us;
  for (std::size_t i = 0; i < tenants && !budget.is_exhausted(); ++i) {
    arrivals_us.push_back(driver.request(i));
    driver.run_until(driver.now() + interval);
  }
  driver.run_until(driver.now() + kQuiesceTime);
  recorder.add("memory", sizes, heap_in_use_mb() - heap_before, "MB");
  recorder.add("arrival", sizes, median(arrivals_us), "us");
  recorder.add("look", sizes, largest(driver.maintenance_us()), "us");
}

}  // namespace

void measure_module_lists(const Options& options, Report& report) {
  const MeasurementRecorder recorder(report, "module.list");
  for (const std::size_t servers : server_counts(options)) {
    measure_list(options, recorder, servers);
  }
  recorder.fit({"list_first", "list_again", "memory", "memory_after", "avoided"}, "servers",
               double(Target{}.servers));
}

// The routes of the operators' services are request classes of the settings.
void measure_module_classes(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "module.classes");
  for (const std::size_t classes : module_class_counts(options)) {
    if (!budget.is_exhausted()) {
      measure_classes(options, recorder, classes);
    }
  }
  recorder.fit({"memory", "settings_change"}, "classes", double(Target{}.routes));
}

void measure_module_tenants(const Options& options, Report& report) {
  const TimeBudget budget(options, kDefaultSeconds);
  const MeasurementRecorder recorder(report, "module.tenants");
  for (const std::size_t tenants : module_tenant_counts(options)) {
    if (!budget.is_exhausted()) {
      measure_tenants(options, recorder, tenants, budget);
    }
  }
  recorder.fit({"memory", "look"}, "tenants", double(Target{}.tenants));
}

}  // namespace quota_gateway::scale
