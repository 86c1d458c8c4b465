// Slopes of the decision module alone, through its interface, by this thread's processor time. Its
// clock is the bench's own, so that what a request costs does not depend on what else the machine
// does.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>

#include "figure_recorder.hpp"
#include "measure.hpp"
#include "quota_gateway/gateway.hpp"
#include "report.hpp"
#include "slope_sizes.hpp"
#include "time_budget.hpp"

namespace quota_gateway::scale {
namespace {

constexpr Micros kMs = 1'000, kS = 1'000'000;
constexpr Micros kAnswer = 20 * kMs;       // a server's, when idle
constexpr Micros kFullAnswer = 100 * kMs;  // and at capacity
constexpr Micros kCounterAnswer = 500;     // us
constexpr Micros kSettle = kS;             // until as many are held as will be
constexpr double kRequestsPerS = 257;      // of a gateway: the target's requests over its gateways
constexpr std::size_t kFewGateways = 300;
constexpr std::size_t kSlice = 500;    // entries of a burst told at once
constexpr std::size_t kBurstPart = 7;  // a zone's part of the servers: of as many zones
constexpr double kServerBytes = 3'000, kClassBytes = 2'500, kTenantBytes = 1'500, kBaseBytes = 30e6;

std::string label(const char* prefix, std::size_t n) {
  return prefix + std::to_string(n);
}

// In use by this process's heap.
double heap_mb() {
  const struct mallinfo2 info = ::mallinfo2();
  return double(info.uordblks + info.hblkhd) / 1e6;
}

EndpointEntry entry(std::size_t n) {
  EndpointEntry e;
  e.server = label("s-", 100'000'000 + n);
  e.zone = std::string(1, char('a' + n % kBurstPart));
  e.kind = label("m", n % 3);
  e.cell = std::int64_t(n % 64);
  return e;
}

EndpointListUpdate whole_list(std::size_t servers) {
  EndpointListUpdate list;
  for (std::size_t i = 0; i < servers; ++i) {
    list.entries.push_back(entry(i));
  }
  return list;
}

EndpointListUpdate one_change(EndpointEntry e) {
  return {EndpointListUpdate::Kind::kPartial, {std::move(e)}};
}

Settings settings(std::size_t gateways, std::size_t classes = 1) {
  Settings s;
  s.zone = "a";
  for (std::size_t i = 0; i < classes; ++i) {
    ClassSettings c;
    c.name = classes == 1 ? "read" : label("service-", i % 6'100) + label("/route-", i);
    c.latency_objective = 3 * kS;
    c.deadline = 4 * kS;
    c.late_value_fraction = 0.5;
    c.idempotency = Idempotency::kIdempotent;
    s.classes.push_back(std::move(c));
  }
  PlanSettings plan;
  plan.name = "plan";
  plan.quota_rate = plan.quota_burst = 1e6;
  s.plans.push_back(plan);
  s.gateway_count = int(gateways);
  s.gateway_index = int(gateways / 3);
  s.has_counter = true;
  s.max_attempts = 3;
  s.cancellation_allowed = s.retry_after_allowed = true;
  s.max_retry_after = kS;
  s.slow_start_min_fraction = 0.3;
  s.slow_start_duration = 10 * kS;
  s.slow_start_overload_factor = 1.5;
  s.slow_start_overload_window = kS;
  return s;
}

// The module with servers and a counter that answer in the bench's time.
class Bench {
 public:
  Bench(Settings s, std::uint64_t seed) : gateway_(std::move(s), seed), random_(seed) {}

  Gateway& gateway() { return gateway_; }
  Micros now() const { return now_; }
  void answer_in(Micros time) { answer_ = time; }

  // Tells it, and returns the microseconds of processor that it took.
  double tell(const Event& event) {
    const std::vector<Event> events{event};
    actions_.clear();
    const double us = thread_cpu_us_of([&] { gateway_.handle(now_, events, actions_); });
    for (const Action& a : actions_) {
      std::visit([this](const auto& x) { on(x); }, a);
    }
    return us;
  }
  // One request now; `who`: of so many tenants. Its arrival's microseconds.
  double request(std::size_t who) {
    RequestArrived r;
    r.id = label("r", ++requests_);
    r.customer = label("tenant-", who);
    r.plan = "plan";
    r.request_class = "read";
    r.deadline = now_ + 4 * kS;
    r.gateway_subset_size = 3;
    r.gateway_subset_start = int(who % 100);
    sent_ = refused_ = 0;
    const double us = tell(r);
    all_us_ += us;
    if (sent_ == 0 && refused_ == 0) {
      ++held_;
    }
    return us;
  }
  // Lets time go on to `until`, or until `work_us` have been spent.
  void run(Micros until, double work_us = 1e18) {
    double spent = 0;
    while (!due_.empty() && due_.begin()->first <= until && spent < work_us) {
      now_ = std::max(now_, due_.begin()->first);
      Event event = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      if (const auto* e = std::get_if<AttemptCompleted>(&event)) {
        attempts_.erase(e->id);
      }
      const auto* timer = std::get_if<TimerFired>(&event);
      const double us = tell(event);
      if (timer && timer->token == 0) {
        looks_.push_back(us), looks_us_ += us;
      }
      all_us_ += us;
      spent += us;
    }
    now_ = std::max(now_, until);
  }

  std::size_t requests() const { return requests_; }
  std::size_t held() const { return held_; }
  double all_us() const { return all_us_; }  // of all events but the lists
  double looks_us() const { return looks_us_; }
  const std::vector<double>& looks() const { return looks_; }  // us of its timer of once a second

 private:
  void later(Micros after, Event event) { due_.emplace(now_ + after, std::move(event)); }
  void on(const SendAttempt& a) {
    ++sent_;
    AttemptCompleted e;
    e.id = a.id;
    e.server = a.server;
    e.attempt = attempts_[a.id]++;
    // A spread of a tenth; two servers are never quite alike.
    e.duration =
        Micros(double(answer_) * std::uniform_real_distribution<double>(0.9, 1.1)(random_));
    e.request_answered = true;
    later(e.duration, e);
  }
  void on(const AddToCounter& a) {
    CounterReply e;
    e.name = a.name;
    e.total = totals_[a.name] += a.amount;
    e.outcome = CounterOutcome::kOk;
    e.duration = kCounterAnswer;
    later(kCounterAnswer, e);
  }
  void on(const SetTimer& t) { due_.emplace(std::max(t.at, now_), TimerFired{t.token}); }
  void on(const Reject&) { ++refused_; }
  void on(const Fail&) { ++refused_; }
  void on(const CancelAttempt&) {
  }  // answers come all the same; none is slow enough to be taken back
  void on(const SendHealthCheck&) {}
  void on(const LogLine&) {}

  Gateway gateway_;
  std::mt19937_64 random_;
  Micros now_ = kS, answer_ = kAnswer;
  std::vector<Action> actions_;
  std::multimap<Micros, Event> due_;
  std::unordered_map<std::string, int> attempts_;
  std::unordered_map<std::int64_t, double> totals_;
  std::size_t requests_ = 0, held_ = 0;
  int sent_ = 0, refused_ = 0;
  double all_us_ = 0, looks_us_ = 0;
  std::vector<double> looks_;
};

// Microseconds of processor of one call, the median of repeats that are each long enough to be
// told.
double median_us(const std::string& name, bool small, const std::function<void()>& work) {
  struct Taken : benchmark::BenchmarkReporter {
    double us = 0;
    bool ReportContext(const Context&) override { return true; }
    void ReportRuns(const std::vector<Run>& runs) override {
      for (const Run& run : runs) {
        if (run.aggregate_name == "median") {
          us = run.GetAdjustedCPUTime();
        }
      }
    }
  } taken;
  benchmark::ClearRegisteredBenchmarks();
  benchmark::RegisterBenchmark(name.c_str(),
                               [&work](benchmark::State& state) {
                                 for (auto _ : state) {
                                   work();
                                 }
                               })
      ->Unit(benchmark::kMicrosecond)
      ->MinTime(small ? 0.001 : 0.02)
      ->Repetitions(5)
      ->ReportAggregatesOnly(true);
  benchmark::RunSpecifiedBenchmarks(&taken);
  benchmark::ClearRegisteredBenchmarks();
  return taken.us;
}

// ---- Sizes
// ----------------------------------------------------------------------------------------------
std::vector<std::size_t> gateway_sizes(const Options& o) {
  if (o.gateways > 0) {
    return {o.gateways};
  }
  return {kFewGateways, Target{}.gateways};
}
std::size_t most_gateways(const Options& o) {
  return gateway_sizes(o).back();
}
std::vector<std::size_t> class_sizes(const Options& o) {
  if (o.small) {
    return {10, 100, 500, 2'000};
  }
  return {100, 1'000, 10'000, 100'000, Target{}.routes};
}
std::vector<std::size_t> tenant_sizes(const Options& o) {
  if (o.small) {
    return {20, 200, 1'000, 3'000};
  }
  return {200, 2'000, 20'000, 200'000};
}
std::uint64_t server_memory(const Options& o) {
  return to_bytes(kBaseBytes + kServerBytes * double(server_counts(o).back()));
}

Bench listed(const Options& o, std::size_t servers, std::size_t gateways) {
  Bench bench(settings(gateways), o.seed);
  bench.tell(whole_list(servers));
  return bench;
}

// ---- Scenarios
// ------------------------------------------------------------------------------------------ Full:
// twice what the servers' part here bears, at the target's rate at least, so that requests are
// held. Idle: half of that part at the most.
Micros gap_of(bool full, double even) {
  const double answer = double(full ? kFullAnswer : kAnswer) / double(kS);
  const double rate = full ? std::max(kRequestsPerS, 2 * (even + 2) / answer)
                           : std::min(kRequestsPerS, 0.5 * even / answer);
  return std::max<Micros>(1, Micros(double(kS) / rate));
}

void request_point(const Options& o, FigureRecorder tell, std::size_t servers, std::size_t gateways,
                   bool full, const TimeBudget& bound) {
  const double most_us = o.small ? 0.3e6 : 3e6;  // of one point
  const std::size_t most = o.small ? 200 : 2'000;
  const std::size_t least = 10;
  const Micros gap = gap_of(full, 2.0 * double(servers) / double(gateways));
  Bench bench = listed(o, servers, gateways);
  std::mt19937_64 random(o.seed);
  const auto next = [&](double left_us) {
    bench.run(bench.now() + gap, left_us);
    return bench.request(random() % 176);
  };
  for (int i = 0; i < 60; ++i) {
    next(1e18);  // first totals and answers
  }
  bool settled = true;
  if (full) {
    bench.answer_in(kFullAnswer);
    const Micros until = bench.now() + kSettle;
    for (double left = 3 * most_us; bench.now() < until && settled; settled = left > 0) {
      const double before = bench.all_us();
      next(left);
      left -= bench.all_us() - before;
    }
  }
  const double before = bench.all_us();
  const double looked = bench.looks_us();
  const std::size_t held = bench.held();
  std::vector<double> arrivals;
  const auto goes_on = [&] { return arrivals.size() < least || bench.all_us() - before < most_us; };
  while (arrivals.size() < most && goes_on() && !bound.is_exhausted()) {
    arrivals.push_back(next(most_us));
  }
  const std::map<std::string, double> at = {
      {"servers", double(servers)}, {"gateways", double(gateways)}, {"full", full ? 1.0 : 0.0}};
  const double us = bench.all_us() - before - (bench.looks_us() - looked);
  tell.add("arrival", at, median(arrivals), "us");
  tell.add("arrival_p99", at, p99(arrivals), "us");
  tell.add("request", at, us / double(std::max<std::size_t>(1, arrivals.size())), "us");
  tell.add("held", at,
           100.0 * double(bench.held() - held) / double(std::max<std::size_t>(1, arrivals.size())),
           "%");
  if (!full) {
    tell.add("look", at, median(bench.looks()), "us");
  }
  if (arrivals.size() < 100 || !settled) {
    tell.note("at " + std::to_string(servers) + " servers, " + std::to_string(gateways) +
              " gateways, " + (full ? "full" : "idle") + ": the time was up after " +
              std::to_string(arrivals.size()) + " requests" +
              (settled ? "" : ", before as many were held as would be"));
  }
}

void requests(const Options& o, Report& report) {
  const TimeBudget bound(o, 240);
  const FigureRecorder tell(report, "module.request");
  // The first point would else pay for caches and a clock rate that the others find warm.
  Report unheard(nullptr);
  request_point(o, {unheard, ""}, server_counts(o).front(), gateway_sizes(o).front(), false, bound);
  for (const std::size_t gateways : gateway_sizes(o)) {
    for (const std::size_t servers : server_counts(o)) {
      for (const bool full : {false, true}) {
        if (!bound.is_exhausted()) {
          request_point(o, tell, servers, gateways, full, bound);
        }
      }
    }
  }
  FigureRecorder(tell).fit({"arrival", "arrival_p99", "request", "look"}, "servers",
                           Target{}.servers);
}

// One server changes, and then a request comes: what a change puts off must show as well.
void change_point(const Options& o, FigureRecorder tell, std::size_t servers,
                  const TimeBudget& bound) {
  Bench bench = listed(o, servers, most_gateways(o));
  std::mt19937_64 random(o.seed);
  const std::size_t rounds = o.small ? 10 : 100;
  std::map<std::string, std::vector<double>> us;
  const auto change = [&](const char* kind, EndpointEntry e) {
    bench.run(bench.now() + 10 * kMs);
    const double took = bench.tell(one_change(std::move(e)));
    us[kind].push_back(took);
    us["change"].push_back(took);
    us["request_after"].push_back(bench.request(random() % 176));
  };
  double spent = 0;
  for (std::size_t i = 0; i < rounds && spent < 4e6 && !bound.is_exhausted(); ++i) {
    EndpointEntry e = entry(random() % servers);
    e.state = EndpointState::kDraining;
    change("change_drain", e);
    e.state = EndpointState::kRemoved;
    change("change_removed", e);
    e.state = EndpointState::kUp;
    e.started_at = bench.now();
    change("change_restarted", e);
    change("change_new", entry(servers + i));
    spent = 0;
    for (const double took : us["change"]) {
      spent += took;
    }
  }
  const std::map<std::string, double> at = {{"servers", double(servers)}};
  for (const auto& [name, samples] : us) {
    tell.add(name, at, median(samples), "us");
  }
  tell.add("change_p99", at, p99(us["change"]), "us");
}

void changes(const Options& o, Report& report) {
  const TimeBudget bound(o, 120);
  FigureRecorder tell(report, "module.change");
  for (const std::size_t servers : server_counts(o)) {
    change_point(o, tell, servers, bound);
  }
  tell.fit({"change", "change_p99", "change_drain", "change_removed", "change_restarted",
            "change_new", "request_after"},
           "servers", Target{}.servers);
}

// A zone goes, and comes back: a seventh of the servers, in slices, with a request after each.
void bursts(const Options& o, Report& report) {
  const TimeBudget bound(o, 240);
  FigureRecorder tell(report, "module.burst");
  for (const std::size_t servers : server_counts(o)) {
    Bench bench = listed(o, servers, most_gateways(o));
    std::vector<double> slices;
    std::vector<double> after;
    std::size_t changed = 0;
    for (const EndpointState state : {EndpointState::kRemoved, EndpointState::kUp}) {
      EndpointListUpdate slice{EndpointListUpdate::Kind::kPartial, {}};
      for (std::size_t i = 0; i < servers && !bound.is_exhausted(); ++i) {
        if (i % kBurstPart == 0) {
          slice.entries.push_back(entry(i)), slice.entries.back().state = state;
        }
        if (slice.entries.size() < kSlice && i + 1 < servers) {
          continue;
        }
        changed += slice.entries.size();
        slices.push_back(bench.tell(slice) / 1e3);
        after.push_back(bench.request(i % 176) / 1e3);
        bench.run(bench.now() + 5 * kMs);
        slice.entries.clear();
      }
    }
    const std::map<std::string, double> at = {{"servers", double(servers)}};
    double sum = 0;
    for (const double ms : slices) {
      sum += ms;
    }
    tell.add("changed", at, double(changed), "servers");
    tell.add("slice_longest", at, percentile(slices, 1), "ms");
    tell.add("slice_median", at, median(slices), "ms");
    tell.add("all_slices", at, sum, "ms");
    tell.add("request_after_longest", at, percentile(after, 1), "ms");
  }
  tell.fit({"slice_longest", "all_slices", "request_after_longest"}, "servers", Target{}.servers);
}

void lists(const Options& o, Report& report) {
  FigureRecorder tell(report, "module.list");
  for (const std::size_t servers : server_counts(o)) {
    const std::map<std::string, double> at = {{"servers", double(servers)}};
    const EndpointListUpdate list = whole_list(servers);
    const double before = heap_mb();
    Bench bench(settings(most_gateways(o)), o.seed);
    tell.add("list_first", at, bench.tell(list) / 1e3, "ms");
    tell.add("memory", at, heap_mb() - before, "MB");
    tell.add("list_again", at, median_us("list", o.small, [&] { bench.tell(list); }) / 1e3, "ms");
    tell.add("memory_after", at, heap_mb() - before, "MB");
    tell.add("avoided", at,
             median_us("unavailable_endpoints", o.small,
                       [&] { benchmark::DoNotOptimize(bench.gateway().unavailable_endpoints()); }),
             "us");
  }
  tell.fit({"list_first", "list_again", "memory", "memory_after", "avoided"}, "servers",
           Target{}.servers);
}

// A service's routes are classes of the settings.
void classes(const Options& o, Report& report) {
  const TimeBudget bound(o, 120);
  FigureRecorder tell(report, "module.classes");
  for (const std::size_t n : class_sizes(o)) {
    if (bound.is_exhausted()) {
      break;
    }
    const std::map<std::string, double> at = {{"classes", double(n)}};
    const double before = heap_mb();
    Bench bench(settings(most_gateways(o), n), o.seed);
    tell.add("memory", at, heap_mb() - before, "MB");
    bench.tell(whole_list(200));
    {
      SettingsChanged one{settings(most_gateways(o), n)};
      SettingsChanged other = one;
      other.settings.classes[n / 2].latency_objective += kMs;
      const Event events[] = {one, other};
      one = other = {};
      std::size_t turn = 0;
      tell.add("settings_change", at,
               median_us("settings", o.small, [&] { bench.tell(events[++turn % 2]); }) / 1e3, "ms");
    }
    tell.add("memory_after", at, heap_mb() - before, "MB");
  }
  tell.fit({"memory", "settings_change"}, "classes", Target{}.routes);
}

void tenants(const Options& o, Report& report) {
  const TimeBudget bound(o, 120);
  FigureRecorder tell(report, "module.tenants");
  for (const std::size_t n : tenant_sizes(o)) {
    if (bound.is_exhausted()) {
      break;
    }
    Bench bench = listed(o, 200, most_gateways(o));
    const double before = heap_mb();
    std::vector<double> arrivals;
    // All within a second of the bench's time: a tenant that is silent for long is forgotten.
    for (std::size_t i = 0; i < n && !bound.is_exhausted(); ++i) {
      arrivals.push_back(bench.request(i));
      bench.run(bench.now() + std::max<Micros>(1, kS / Micros(n)));
    }
    bench.run(bench.now() + 4 * kS);  // all answered, and looked at
    const std::map<std::string, double> at = {{"tenants", double(n)}};
    tell.add("memory", at, heap_mb() - before, "MB");
    tell.add("arrival", at, median(arrivals), "us");
    tell.add("look", at, percentile(bench.looks(), 1), "us");
  }
  tell.fit({"memory", "look"}, "tenants", Target{}.tenants);
}

}  // namespace

void add_module_slopes(std::vector<Scenario>& to) {
  to.push_back({"module.request", "a request in the module, by listed servers, idle and full",
                server_memory, requests});
  to.push_back(
      {"module.change", "a change of one server, by listed servers", server_memory, changes});
  to.push_back({"module.burst", "a zone's servers change in slices, by listed servers",
                server_memory, bursts});
  to.push_back(
      {"module.list", "a whole list and its memory, by listed servers", server_memory, lists});
  to.push_back({"module.classes", "memory and a change of the settings, by classes",
                [](const Options& o) {
                  return to_bytes(kBaseBytes + kClassBytes * double(class_sizes(o).back()));
                },
                classes});
  to.push_back({"module.tenants", "memory by tenants met",
                [](const Options& o) {
                  return to_bytes(kBaseBytes + kTenantBytes * double(tenant_sizes(o).back()));
                },
                tenants});
}

}  // namespace quota_gateway::scale
