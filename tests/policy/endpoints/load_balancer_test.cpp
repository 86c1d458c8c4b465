// The list of servers at all sizes: containers, cost, memory, parts. Each test is named after its
// danger.
#include "policy/endpoints/load_balancer.hpp"

#include <gtest/gtest.h>
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <set>
#include <vector>

#include "quota_gateway/gateway.hpp"
#include "util/compact_string.hpp"
#include "util/hash.hpp"
#include "util/order_statistic_ring.hpp"
#include "util/random.hpp"
#include "util/string_interner.hpp"

namespace quota_gateway {
namespace {

struct Item {
  std::string name;
  bool counted = false;
};
using Ring = OrderStatisticRing<Item>;
using Model = std::map<std::pair<std::uint64_t, std::string>, bool>;  // counted, by place and name

std::vector<std::string> counted_from(const Model& model, std::uint64_t from) {
  std::vector<std::string> before;
  std::vector<std::string> after;
  for (const auto& [key, counted] : model) {
    if (counted) {
      (key.first < from ? before : after).push_back(key.second);
    }
  }
  after.insert(after.end(), before.begin(), before.end());
  return after;
}

std::vector<std::string> walked_from(Ring& ring, std::uint64_t from) {
  std::vector<std::string> out;
  ring.visit_counted_from(from, [&](std::uint64_t, const Item& item) {
    out.push_back(item.name);
    return true;
  });
  return out;
}

TEST(OrderStatisticRing, IsTheSameAsASortedMapThroughAnyChanges) {
  // Guards against items lost where blocks split and merge, and where places are shared by several
  // names.
  std::uint64_t random = 5;
  Ring ring;
  Model model;
  for (int i = 0; i < 40'000; ++i) {
    // It grows to some thousands, shrinks to a few, and grows again.
    const bool grows = (i / 10'000) % 2 == 0;
    const std::string name = std::to_string(std::uint64_t(uniform(random) * 8'000));
    const std::uint64_t place = hash_text(name) >> 52 << 52;  // 4,096 places
    const auto [at, found] = ring.find(place, name);
    ASSERT_EQ(found, model.count({place, name}) > 0);
    const bool counted = uniform(random) < 0.8;
    if (!found && (grows || counted)) {
      if (!grows) {
        continue;
      }
      const auto now_at = ring.insert(at, place, {name, counted});
      ASSERT_EQ(ring.at(now_at).name, name);
      model[{place, name}] = counted;
    } else if (found && (grows || uniform(random) < 0.1)) {
      ring.set_counted(at, counted);
      model[{place, name}] = counted;
    } else if (found) {
      ring.erase(at);
      model.erase({place, name});
    }
    if (i % 500 != 0) {
      continue;
    }
    ASSERT_EQ(ring.size(), model.size());
    const std::uint64_t from = mix(random);
    const auto expected = counted_from(model, from);
    ASSERT_EQ(walked_from(ring, from), expected);
    ASSERT_EQ(ring.counted_size(), expected.size());
    const auto in_order = counted_from(model, 0);
    for (std::size_t rank = 0; rank < in_order.size(); rank += 1 + in_order.size() / 7) {
      ASSERT_EQ(ring.position_of_rank(rank), hash_text(in_order[rank]) >> 52 << 52);
    }
  }
  ring.erase_if([](const Item& item) { return item.counted; });
  std::erase_if(model, [](const auto& e) { return e.second; });
  EXPECT_EQ(ring.size(), model.size());
  std::size_t visited = 0;
  ring.for_each([&](Ring::Slot) { ++visited; });
  EXPECT_EQ(visited, model.size());
  ring.erase_if([](const Item&) { return true; });
  EXPECT_EQ(ring.size(), 0U);
  EXPECT_TRUE(walked_from(ring, 0).empty());
}

TEST(StringInterner, KeepsEachTextOnceAndOnlyWhileItIsHeld) {
  StringInterner zones;
  const auto a = zones.acquire("a");
  const auto b = zones.acquire("b");
  EXPECT_EQ(zones.acquire("a"), a);
  EXPECT_NE(a, b);
  zones.release(a);
  zones.release(b);
  EXPECT_EQ(zones[a], "a");
  EXPECT_EQ(zones.size(), 1U);
  for (int i = 0; i < 100; ++i) {
    zones.release(zones.acquire("passing"));
  }
  EXPECT_EQ(zones.acquire("c"), b);  // numbers are used again
}

TEST(CompactString, HoldsAnyBytes) {
  for (const std::string& text : {std::string(), std::string("a\0b", 3), std::string(300, 'x')}) {
    EXPECT_EQ(std::string_view(CompactString(text)), text);
  }
}

constexpr Micros kMs = 1'000;
constexpr Micros kS = 1'000'000;

Settings settings_of(int gateways, int position = 17) {
  Settings s;
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 500 * kMs;
  read.deadline = 2 * kS;
  read.idempotency = Idempotency::kIdempotent;
  s.classes.push_back(read);
  ClassSettings once = read;
  once.name = "once";
  once.idempotency = Idempotency::kNonIdempotent;
  once.streamed = true;
  s.classes.push_back(once);
  s.plans.push_back({});
  s.plans[0].name = "plan";
  s.gateway_count = gateways;
  s.gateway_index = position;
  s.max_attempts = 3;
  s.slow_start_min_fraction = 0.2;
  s.slow_start_duration = 60 * kS;
  s.slow_start_overload_factor = 2;
  s.slow_start_overload_window = kS;
  return s;
}

EndpointEntry entry(int i, EndpointState state = EndpointState::kUp) {
  EndpointEntry e;
  e.server = "server-" + std::to_string(i) + ".site:8080";
  e.zone = "zone-" + std::to_string(i % 7);
  e.kind = "standard";
  e.cell = i % 50;
  e.state = state;
  return e;
}

EndpointListUpdate changes(std::vector<EndpointEntry> entries) {
  return {EndpointListUpdate::Kind::kPartial, std::move(entries)};
}

std::vector<EndpointEntry> entries(int from, int to, EndpointState state = EndpointState::kUp) {
  std::vector<EndpointEntry> out;
  for (int i = from; i < to; ++i) {
    out.push_back(entry(i, state));
  }
  return out;
}

double cpu_us() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return double(t.tv_sec) * 1e6 + double(t.tv_nsec) * 1e-3;
}

double heap_bytes() {
  const auto info = mallinfo2();
  return double(info.uordblks) + double(info.hblkhd);
}

// One gateway under steady requests that are answered after 20 ms.
class Site {
 public:
  Site(int gateways, int servers) : gateway_(settings_of(gateways), 7) {
    step({EndpointListUpdate{EndpointListUpdate::Kind::kComplete, entries(0, servers)}});
    for (int i = 0; i < 300; ++i) {
      request();
    }
  }
  const std::vector<Action>& step(const std::vector<Event>& events) {
    actions_.clear();
    gateway_.handle(now_, events, actions_);
    for (const Action& a : actions_) {
      if (const auto* sent = std::get_if<SendAttempt>(&a)) {
        AttemptCompleted end;
        end.id = sent->id;
        end.server = sent->server;
        end.duration = 20 * kMs;
        end.request_answered = true;
        ends_.emplace_back(now_ + end.duration, end);
        ++sent_;
      }
      const auto* timer = std::get_if<SetTimer>(&a);
      if (timer && timer->token == 0) {
        look_at_ = timer->at;
      }
    }
    return actions_;
  }
  void request() {
    for (now_ += 4 * kMs; !ends_.empty() && ends_.front().first <= now_; ends_.pop_front()) {
      step({Event{AttemptCompleted{ends_.front().second}}});
    }
    if (look_at_ <= now_) {
      step({TimerFired{0}});
    }
    step({arrival("read")});
  }
  RequestArrived arrival(const std::string& request_class) {
    RequestArrived r;
    r.id = std::to_string(++asked_);
    r.customer = "c1";
    r.plan = "plan";
    r.request_class = request_class;
    r.deadline = now_ + 2 * kS;
    return r;
  }
  // us of processor each, the requests included that no change is part of.
  double requests(int n) {
    const double before = cpu_us();
    for (int i = 0; i < n; ++i) {
      request();
    }
    return (cpu_us() - before) / n;
  }
  double change(const std::vector<EndpointEntry>& entries) {
    const std::vector<Event> events{changes(entries)};
    const double before = cpu_us();
    step(events);
    return cpu_us() - before;
  }
  const Gateway& gateway() const { return gateway_; }
  Micros now() const { return now_; }
  int sent() const { return sent_; }
  int asked() const { return asked_; }

 private:
  Gateway gateway_;
  std::vector<Action> actions_;
  std::deque<std::pair<Micros, AttemptCompleted>> ends_;
  Micros now_ = 0, look_at_ = 0;
  int sent_ = 0, asked_ = 0;
};

struct Costs {
  double least;  // us
  double times;  // the cost at the first size; the median of the rounds
};

// Sites of several sizes take turns, and each round is compared in itself: all meet the same
// machine.
template <typename Cost>
std::vector<Costs> compare(const std::vector<int>& sizes, int gateways, const char* what,
                           Cost cost) {
  constexpr int kRounds = 61;
  std::vector<std::unique_ptr<Site>> sites;
  for (const int n : sizes) {
    sites.push_back(std::make_unique<Site>(gateways, n));
  }
  std::vector<std::vector<double>> costs(sizes.size());
  std::vector<std::vector<double>> times(sizes.size());
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < sizes.size(); ++i) {
      costs[i].push_back(cost(*sites[i], sizes[i], round));
      times[i].push_back(costs[i].back() / costs[0].back());
    }
  }
  std::vector<Costs> out;
  for (std::size_t i = 0; i < sizes.size(); ++i) {
    std::nth_element(times[i].begin(), times[i].begin() + kRounds / 2, times[i].end());
    out.push_back({*std::min_element(costs[i].begin(), costs[i].end()), times[i][kRounds / 2]});
    std::printf("%d gateways, %d servers: %.2f us a %s at the least, %.2f times\n", gateways,
                sizes[i], out[i].least, what, out[i].times);
    EXPECT_GE(sites[i]->sent(), sites[i]->asked() * 9 / 10);
  }
  return out;
}

TEST(ServersCost, ARequestCostsAboutTheSameHoweverManyAreListed) {
  // A walk over the list for each request: 90 times at 20,000 and 2,000 times at 170,000.
  for (const int gateways : {300, 7'400}) {
    const auto costs = compare({200, 2'000, 20'000, 170'000}, gateways, "request",
                               [](Site& site, int, int) { return site.requests(200); });
    for (const Costs& c : costs) {
      EXPECT_LE(c.times, 2);
    }
  }
}

TEST(ServersCost, AChangeCostsAboutTheSameHoweverManyAreListed) {
  // A ring sorted anew for each change: 4,000 times at 170,000.
  const auto costs =
      compare({200, 20'000, 170'000}, 7'400, "change", [](Site& site, int size, int round) {
        double sum = 0;
        for (int i = 0; i < 50; ++i) {
          EndpointEntry e = entry(int(mix(std::uint64_t(round * 50 + i)) % std::uint64_t(size)));
          if (i % 5 == 0) {
            e.state = EndpointState::kDraining;
          }
          if (i % 5 == 1) {
            e.state = EndpointState::kRemoved;
          }
          if (i % 5 == 2) {
            e.started_at = site.now();
          }
          if (i % 5 == 3) {
            e = entry(size + round * 50 + i);
          }
          sum += site.change({e});
          site.request();
        }
        return sum / 50;
      });
  for (const Costs& c : costs) {
    EXPECT_LE(c.times, 6);  // memory that lies far apart; it was thousands of times
  }
}

TEST(ServersCost, AZoneInSlicesCostsWhatItsSlicesHold) {
  // Each slice of a lost zone, and the request after it, must cost by the slice and not by the
  // list.
  for (const int gateways : {300, 7'400}) {
    Site large(gateways, 170'000);
    Site small(gateways, 24'000);
    double sum[2] = {0, 0};
    double most = 0;
    double sum_of_requests = 0;
    for (int from = 0; from < 24'000; from += 300) {
      const auto slice = entries(from, from + 300, EndpointState::kRemoved);
      const double cost = large.change(slice);
      sum[0] += cost;
      most = std::max(most, cost);
      sum_of_requests += large.requests(1);
      if (from < 20'000) {
        sum[1] += small.change(slice);
      }
    }
    std::printf(
        "%d gateways: 24,000 removed in %.1f ms, the worst slice %.2f ms, requests between %.2f "
        "ms\n",
        gateways, sum[0] / 1e3, most / 1e3, sum_of_requests / 1e3);
    EXPECT_LE(sum[0], 6 * sum[1]);
  }
}

TEST(ServersCost, AListOf170000TakesLittleMemoryAndIsNotWalkedByWhoCounts) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "the sanitizer's allocator tells nothing";
#endif
  const double before = heap_bytes();
  const auto list = std::make_unique<EndpointListUpdate>(
      EndpointListUpdate{EndpointListUpdate::Kind::kComplete, entries(0, 170'000)});
  const double listed = heap_bytes();
  Gateway gateway(settings_of(7'400), 7);
  std::vector<Action> actions;
  const double start = cpu_us();
  gateway.handle(0, {*list}, actions);
  const double taking = cpu_us() - start;
  const double bytes = heap_bytes() - listed;
  std::printf("170,000 servers: %.1f MB, taken in %.0f ms (the list itself %.1f MB)\n", bytes / 1e6,
              taking / 1e3, (listed - before) / 1e6);
  EXPECT_LE(bytes, 40e6);
  const double counting = cpu_us();
  int unavailable_endpoints = 0;
  for (int i = 1; i <= 500; ++i) {
    unavailable_endpoints += gateway.unavailable_endpoints();
    gateway.handle(i * kS, {TimerFired{0}}, actions);
  }
  EXPECT_EQ(unavailable_endpoints, 0);
  EXPECT_LE(cpu_us() - counting, taking);  // one walk for each would be some hundred times that
}

// The parts of all gateways at one moment: stretches of the places of the servers that are up.
struct Stretches {
  std::vector<std::uint64_t> places;
  std::vector<std::size_t> firsts;  // by gateway, into `places`
  std::size_t size = 0;             // of each

  std::uint64_t place(std::size_t gateway, std::size_t i) const {
    return places[(firsts[gateway] + i) % places.size()];
  }
  std::vector<std::uint64_t> part(std::size_t gateway) const {
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i < size; ++i) {
      out.push_back(place(gateway, i));
    }
    std::sort(out.begin(), out.end());
    return out;
  }
};

// Pairs of gateway and server that are new, when one server or gateway has come or gone.
std::size_t moved(const Stretches& before, const Stretches& after) {
  std::size_t out = 0;
  for (std::size_t i = 0; i < before.firsts.size(); ++i) {
    if (before.size == after.size && before.place(i, 0) == after.place(i, 0) &&
        before.place(i, before.size - 1) == after.place(i, after.size - 1)) {
      continue;
    }
    const auto had = before.part(i);
    const auto has = after.part(i);
    std::vector<std::uint64_t> fresh;
    std::set_difference(has.begin(), has.end(), had.begin(), had.end(), std::back_inserter(fresh));
    out += fresh.size();
  }
  return out;
}

// Where all gateways' parts of one list begin, without their servers' state.
class Parts {
 public:
  Parts(int gateways, int servers) {
    change({EndpointListUpdate::Kind::kComplete, entries(0, servers)});
    starts_.resize(std::size_t(gateways));
    settle();
  }
  void change(const EndpointListUpdate& update) {
    std::vector<std::uint64_t> came;
    list_.update(update, [&](const policy::EndpointRegistry::Change& c) {
      for (RankCursor& start : starts_) {
        start.on_change(c.ring_position, c.up_change);
      }
      if (c.up_change == CountChange::kBecameCounted) {
        came.push_back(c.ring_position);
      }
      if (c.up_change == CountChange::kNoLongerCounted) {
        places_.erase(std::lower_bound(places_.begin(), places_.end(), c.ring_position));
      }
    });
    std::sort(came.begin(), came.end());
    const auto old = std::ptrdiff_t(places_.size());
    places_.insert(places_.end(), came.begin(), came.end());
    std::inplace_merge(places_.begin(), places_.begin() + old, places_.end());
    settle();
  }
  void add_gateway() {
    starts_.emplace_back();
    settle();
  }
  Stretches stretches() const {
    Stretches out{
        places_, {}, std::min(places_.size(), std::size_t(policy::subset_size(list_, settings_)))};
    for (const RankCursor& start : starts_) {
      const auto at = std::lower_bound(places_.begin(), places_.end(), start.ring_position());
      out.firsts.push_back(std::size_t(at - places_.begin()) % places_.size());
    }
    return out;
  }

 private:
  void settle() {
    settings_.gateway_count = std::max(1, int(starts_.size()));
    for (std::size_t i = 0; i < starts_.size(); ++i) {
      settings_.gateway_index = int(i);
      policy::place_subset_start(starts_[i], list_, settings_);
    }
  }
  policy::EndpointRegistry list_;
  std::vector<RankCursor> starts_;
  std::vector<std::uint64_t> places_;
  Settings settings_;
};

TEST(Parts, LieEvenlyOverTheServersAndMoveLittle) {
  struct Shape {
    int gateways, servers;
    double least, most;  // gateways of a server, over the mean
    double by_server;   // new pairs for one server more or less, over the mean gateways of a server
    double by_gateway;  // for one gateway more, of all pairs
  };
  for (const Shape& shape :
       {Shape{300, 200, 0.8, 1.2, 16, 0.01}, Shape{7'400, 20'000, 0.6, 1.4, 60, 0.01},
        Shape{7'400, 170'000, 0.6, 1.4, 25, 0.01}}) {
    Parts parts(shape.gateways, shape.servers);
    const auto told = [&](const char* when) {
      const Stretches now = parts.stretches();
      std::vector<int> sorted(now.places.size());
      for (const std::size_t first : now.firsts) {
        for (std::size_t i = 0; i < now.size; ++i) {
          ++sorted[(first + i) % sorted.size()];
        }
      }
      std::sort(sorted.begin(), sorted.end());
      const double pairs = std::accumulate(sorted.begin(), sorted.end(), 0.0);
      const double mean = pairs / double(sorted.size());
      std::printf(
          "%d gateways, %d servers, %s: least %d, median %d, most %d gateways a server, mean "
          "%.2f\n",
          shape.gateways, shape.servers, when, sorted.front(), sorted[sorted.size() / 2],
          sorted.back(), mean);
      EXPECT_GE(sorted.front(), std::floor(shape.least * mean)) << when;
      EXPECT_LE(sorted.back(), std::ceil(shape.most * mean)) << when;
      return mean;
    };
    const double mean = told("at first");
    // A tenth, or 600, are replaced, one by one: starts then lie anywhere within their slack.
    for (int i = 0; i < std::min(shape.servers / 10, 600); ++i) {
      parts.change(changes({entry(i + 1'000'000), entry(i * 9 + 1, EndpointState::kRemoved)}));
    }
    told("after a tenth, or 600, were replaced");
    double by_server = 0;
    const auto change = [&](const EndpointEntry& e) {
      const Stretches before = parts.stretches();
      parts.change(changes({e}));
      by_server += double(moved(before, parts.stretches())) / 20;
    };
    for (int i = 0; i < 10; ++i) {
      change(entry(shape.servers + i));
      change(entry(i * (shape.servers / 11), EndpointState::kRemoved));
    }
    const Stretches before = parts.stretches();
    parts.add_gateway();
    const auto by_gateway = moved(before, parts.stretches());
    told("with a gateway more");
    std::printf("  new pairs: %.1f for one server more or less, %zu for one gateway more\n",
                by_server, by_gateway);
    EXPECT_LE(by_server, shape.by_server * mean);
    EXPECT_LE(double(by_gateway), shape.by_gateway * mean * shape.servers);
  }
}

TEST(Parts, AreThoseThatTheModuleUses) {
  // Guards against a part that is kept although the list has changed under it.
  for (const auto& [gateways, servers] :
       {std::pair{300, 200}, std::pair{60, 2'000}, std::pair{5, 40}}) {
    Parts parts(gateways, servers);
    std::vector<Settings> settings;
    for (int position = 0; position < gateways; position += 1 + gateways / 6) {
      settings.push_back(settings_of(gateways, position));
    }
    std::vector<std::unique_ptr<policy::LoadBalancer>> modules;
    for (const Settings& s : settings) {
      modules.push_back(std::make_unique<policy::LoadBalancer>(s, 1));
    }
    const EndpointListUpdate whole{EndpointListUpdate::Kind::kComplete, entries(0, servers)};
    for (auto& m : modules) {
      m->update_endpoints(0, whole);
    }
    for (int i = 0; i < 400; ++i) {
      EndpointEntry e = entry(int(mix(std::uint64_t(i)) % std::uint64_t(servers)));
      if (i % 3 == 0) {
        e.state = i % 2 == 0 ? EndpointState::kDraining : EndpointState::kRemoved;
      }
      if (i % 7 == 0) {
        e = entry(servers + i);
      }
      const auto update = changes({e});
      parts.change(update);
      const Stretches now = parts.stretches();
      for (std::size_t k = 0; k < modules.size(); ++k) {
        modules[k]->update_endpoints(i * kMs, update);
        std::vector<std::uint64_t> used;
        for (const policy::Endpoint* s : modules[k]->subset(i * kMs)) {
          used.push_back(s->ring_position);
        }
        std::sort(used.begin(), used.end());
        ASSERT_EQ(used, now.part(std::size_t(settings[k].gateway_index))) << i;
      }
    }
  }
}

TEST(ServersRules, NothingGoesToWhoDrainsOrIsGoneHoweverPartsMove) {
  // Random changes, failures that widen the part, whole lists and settings that move it elsewhere.
  for (const int gateways : {5, 60, 2'000}) {
    constexpr int kServers = 600;
    Settings settings = settings_of(gateways);
    Gateway gateway(settings, 3);
    std::map<std::string, EndpointState> state;
    std::vector<Action> actions;
    std::uint64_t random = 11;
    const auto known = [&](std::vector<EndpointEntry> list) {
      for (const EndpointEntry& e : list) {
        state[e.server] = e.state;
      }
      return list;
    };
    gateway.handle(
        0, {EndpointListUpdate{EndpointListUpdate::Kind::kComplete, known(entries(0, kServers))}},
        actions);
    int sent = 0;
    for (int i = 1; i <= 3'000; ++i) {
      const Micros now = i * 20 * kMs;
      std::vector<Event> events;
      std::vector<EndpointEntry> list;
      for (int k = 0; k < 4; ++k) {
        const double kind = uniform(random);
        list.push_back(entry(int(uniform(random) * kServers), kind < 0.1 ? EndpointState::kDraining
                                                              : kind < 0.2 ? EndpointState::kRemoved
                                                                           : EndpointState::kUp));
        if (kind > 0.8) {
          list.back().started_at = now;
        }
      }
      if (i % 500 == 0) {
        for (auto& [name, s] : state) {
          s = EndpointState::kRemoved;
        }
        events.emplace_back(
            EndpointListUpdate{EndpointListUpdate::Kind::kComplete, known(entries(i / 50, 550))});
      } else {
        events.emplace_back(changes(known(list)));
      }
      if (i % 700 == 0) {
        settings.gateway_index += 5;
        events.emplace_back(SettingsChanged{settings});
      }
      RequestArrived r;
      r.id = std::to_string(i);
      r.plan = "plan";
      r.request_class = "read";
      r.deadline = now + 2 * kS;
      events.emplace_back(r);
      if (i % 50 == 0) {
        events.emplace_back(TimerFired{0});
      }
      for (int attempt = 0; !events.empty(); ++attempt) {
        actions.clear();
        gateway.handle(now, std::exchange(events, {}), actions);
        for (const Action& a : actions) {
          if (const auto* to = std::get_if<SendAttempt>(&a)) {
            ASSERT_EQ(state[to->server], EndpointState::kUp) << to->server;
            ++sent;
            AttemptCompleted end;
            end.id = to->id;
            end.server = to->server;
            end.attempt = attempt;
            end.outcome = uniform(random) < 0.3 ? Outcome::kConnectFailed : Outcome::kOk;
            end.duration = 5 * kMs;
            end.request_answered = end.outcome == Outcome::kOk;
            if (end.id == r.id) {
              events.emplace_back(end);
            }
          }
        }
      }
    }
    EXPECT_GE(sent, 3'000);
    int unavailable_endpoints = 0;
    for (const auto& [name, s] : state) {
      unavailable_endpoints += s == EndpointState::kDraining;
    }
    EXPECT_GE(gateway.unavailable_endpoints(), unavailable_endpoints);
    for (auto& [name, s] : state) {
      s = EndpointState::kRemoved;
    }
    gateway.handle(3'100 * 20 * kMs, {EndpointListUpdate{}}, actions);
    EXPECT_EQ(gateway.unavailable_endpoints(), 0);
  }
}

TEST(ServersRules, APartThatIsLostIsReplacedInTheSameBatch) {
  for (const int servers : {200, 20'000}) {
    Settings settings = settings_of(7'400);
    policy::LoadBalancer module(settings, 1);
    const EndpointListUpdate whole{EndpointListUpdate::Kind::kComplete, entries(0, servers)};
    module.update_endpoints(0, whole);
    Gateway gateway(settings, 1);
    std::vector<Action> actions;
    gateway.handle(0, {whole}, actions);
    std::vector<EndpointEntry> gone;
    std::set<std::string> names;
    for (const policy::Endpoint* s : module.subset(0)) {
      gone.push_back(s->entry);
      gone.back().state = EndpointState::kDraining;
      names.insert(s->entry.server);
    }
    RequestArrived r;
    r.id = "r";
    r.plan = "plan";
    r.request_class = "read";
    r.deadline = 2 * kS;
    gateway.handle(kMs, {changes(gone), r}, actions);
    int sent = 0;
    for (const Action& a : actions) {
      if (const auto* to = std::get_if<SendAttempt>(&a)) {
        ++sent;
        EXPECT_EQ(names.count(to->server), 0U);
      }
    }
    EXPECT_EQ(sent, 1) << servers;
    // And one that fails instead is made up for at once.
    const std::size_t size = module.subset(kMs).size();
    const std::string failing = module.subset(kMs).front()->entry.server;
    while (!module.on_response_aborted(kMs, failing)) {
      continue;
    }
    EXPECT_EQ(module.subset(kMs).size(), size + 1) << servers;
  }
}

TEST(ServersRules, WhatAColdServerWasSentIsNotForgottenWhileItIsOutsideThePart) {
  Settings settings = settings_of(1'000);
  settings.slow_start_duration = 400 * kS;
  settings.slow_start_overload_window =
      10 * kS;  // and sixty gateways share one: one request in 600 s
  policy::LoadBalancer module(settings, 1);
  module.update_endpoints(0, {EndpointListUpdate::Kind::kComplete, entries(0, 100)});
  EndpointEntry cold = module.subset(0).front()->entry;
  cold.started_at = kS;
  module.update_endpoints(kS, changes({cold}));
  policy::Endpoint* s = module.subset(kS).front();
  ASSERT_EQ(s->entry.server, cold.server);
  ASSERT_TRUE(module.slow_start_admits(kS, *s, 0.02));
  module.on_attempt_sent(kS, *s, 0.02);
  --s->open_references;
  settings.gateway_index += 300;
  module.settings_changed();
  for (int second = 2; second < 200; ++second) {
    module.on_period(second * kS);
    for (const policy::Endpoint* other : module.subset(second * kS)) {
      ASSERT_NE(other->entry.server, cold.server);
    }
  }
  settings.gateway_index -= 300;
  module.settings_changed();
  s = module.subset(200 * kS).front();
  ASSERT_EQ(s->entry.server, cold.server);
  EXPECT_FALSE(module.slow_start_admits(200 * kS, *s, 0.02));
}

TEST(ServersRules, NoMoreIsKeptThanThePartsOfTheLastMinute) {
  Settings settings = settings_of(1'000);
  policy::LoadBalancer module(settings, 1);
  module.update_endpoints(0, {EndpointListUpdate::Kind::kComplete, entries(0, 10'000)});
  for (int second = 1; second < 600; ++second) {
    ++settings.gateway_index;
    module.settings_changed();
    module.on_period(second * kS);
    EXPECT_LE(module.tracked_endpoints(), 70U * 100);
    ASSERT_LE(module.tracked_endpoints(), module.subset(second * kS).size() * 70);
  }
}

TEST(ServersRules, AnAnswerThatIsStreamedOutlivesItsServerInTheList) {
  // A minute after its server has left the list. Guards against attempts that point to what is
  // gone.
  Gateway gateway(settings_of(1), 1);
  std::vector<Action> actions;
  gateway.handle(0, {EndpointListUpdate{EndpointListUpdate::Kind::kComplete, entries(0, 3)}},
                 actions);
  RequestArrived r;
  r.id = "r";
  r.plan = "plan";
  r.request_class = "once";
  r.deadline = 2 * kS;
  gateway.handle(kMs, {r}, actions);
  std::string server;
  for (const Action& a : actions) {
    if (const auto* to = std::get_if<SendAttempt>(&a)) {
      server = to->server;
    }
  }
  ASSERT_FALSE(server.empty());
  gateway.handle(2 * kMs, {StreamStarted{"r", 0, server}}, actions);
  EndpointEntry gone;
  gone.server = server;
  gone.state = EndpointState::kRemoved;
  gateway.handle(3 * kMs, {changes({gone})}, actions);
  for (int second = 1; second < 300; ++second) {
    gateway.handle(second * kS, {TimerFired{0}}, actions);
  }
  AttemptCompleted end;
  end.id = "r";
  end.server = server;
  end.outcome = Outcome::kReset;
  end.duration = 300 * kS;
  end.request_answered = true;
  actions.clear();
  gateway.handle(300 * kS, {end}, actions);
  for (const Action& a : actions) {
    EXPECT_FALSE(std::holds_alternative<SendAttempt>(a));
  }
}

TEST(ServersRules, AnAnswerThatIsCutLateEjectsNoServerThatIsThenForgotten) {
  // A minute after the last use of a server. Guards against an ejection that ends when what was
  // kept of its server is gone; the sanitized build sees it.
  Gateway gateway(settings_of(1), 1);
  std::vector<Action> actions;
  gateway.handle(0, {EndpointListUpdate{EndpointListUpdate::Kind::kComplete, entries(0, 3)}},
                 actions);
  const std::string server = entries(0, 1)[0].server;
  EndpointEntry gone;
  gone.server = server;
  gone.state = EndpointState::kRemoved;
  gateway.handle(2 * kMs, {TimerFired{0}}, actions);  // a look, so that all three are used
  gateway.handle(3 * kMs, {changes({gone})}, actions);
  for (int second = 1; second < 64; ++second) {
    gateway.handle(second * kS, {TimerFired{0}}, actions);
  }
  actions.clear();
  gateway.handle(63 * kS + 500 * kMs,
                 {ResponseAborted{server}, ResponseAborted{server}, ResponseAborted{server}},
                 actions);
  const auto told = [&](const Action& a) {
    const auto* line = std::get_if<LogLine>(&a);
    return line && line->text.find("ejected") != std::string::npos;
  };
  ASSERT_TRUE(std::any_of(actions.begin(), actions.end(), told));
  for (int second = 64; second < 70; ++second) {
    gateway.handle(second * kS, {TimerFired{0}}, actions);
  }
  EXPECT_EQ(gateway.unavailable_endpoints(), 0);
}

}  // namespace
}  // namespace quota_gateway
