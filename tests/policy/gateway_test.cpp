// The module alone, through its interface, with hand-written events. Each test is named after its
// danger.
#include "quota_gateway/gateway.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <set>

namespace quota_gateway {
namespace {

constexpr Micros kMs = 1'000;
constexpr Micros kS = 1'000'000;

std::string label(std::string prefix, Micros n) {
  return prefix.append(std::to_string(n));
}

Settings basic_settings() {
  Settings s;
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 500 * kMs;
  read.deadline = 2 * kS;
  read.idempotency = Idempotency::kIdempotent;
  s.classes.push_back(read);
  PlanSettings plan;
  plan.name = "plan";
  plan.quota_rate = 10;
  plan.quota_burst = 20;
  s.plans.push_back(plan);
  s.gateway_count = 2;
  s.max_attempts = 3;
  s.cancellation_allowed = true;
  s.retry_after_allowed = true;
  s.max_retry_after = kS;
  return s;
}

Settings counted_settings() {
  Settings s = basic_settings();
  s.has_counter = true;
  return s;
}

template <typename T>
std::vector<T> all(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& a : actions) {
    if (const T* t = std::get_if<T>(&a)) {
      out.push_back(*t);
    }
  }
  return out;
}

// Drives one gateway, and keeps its timers.
class GatewayHarness {
 public:
  explicit GatewayHarness(Settings s = basic_settings(),
                          std::vector<EndpointEntry> servers = up({"a", "b", "c"}),
                          std::uint64_t seed = 7)
      : gateway_(std::move(s), seed) {
    EndpointListUpdate list;
    list.entries = std::move(servers);
    step(0, {list});
  }
  static std::vector<EndpointEntry> up(std::vector<std::string> names) {
    std::vector<EndpointEntry> out;
    for (auto& n : names) {
      EndpointEntry e;
      e.server = n;
      out.push_back(e);
    }
    return out;
  }
  std::vector<Action> step(Micros now, const std::vector<Event>& events) {
    std::vector<Action> out;
    gateway_.handle(now, events, out);
    for (const SetTimer& t : all<SetTimer>(out)) {
      timers_.emplace(t.at, t.token);
    }
    log_.insert(log_.end(), out.begin(), out.end());
    return out;
  }
  // Fires timers up to `until`; all actions of that stretch.
  std::vector<Action> run(Micros until) {
    std::vector<Action> out;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      auto more = step(at, {TimerFired{token}});
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }
  std::vector<Action> arrive(Micros now, const std::string& id, double units = 1) {
    return step(now, {request(id, now, units)});
  }
  std::vector<Action> end(Micros now, const SendAttempt& a, Outcome o, int attempt = 0,
                          Micros took = kMs) {
    AttemptCompleted e;
    e.id = a.id;
    e.server = a.server;
    e.attempt = attempt;
    e.outcome = o;
    e.duration = took;
    e.request_answered = o == Outcome::kOk;
    return step(now, {e});
  }
  static RequestArrived request(const std::string& id, Micros now, double units = 1) {
    RequestArrived r;
    r.id = id;
    r.customer = "c1";
    r.plan = "plan";
    r.request_class = "read";
    r.units = units;
    r.deadline = now + 2 * kS;
    r.gateway_subset_size = 2;
    return r;
  }
  // Sends and serves requests at one instant; how many were let in.
  int burst(Micros now, int n, double units = 1) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      auto out = arrive(now, label("b", now) + label("-", i), units);
      for (const SendAttempt& a : all<SendAttempt>(out)) {
        ++sent;
        end(now, a, Outcome::kOk);
      }
    }
    return sent;
  }
  const std::vector<Action>& log() const { return log_; }

 private:
  Gateway gateway_;
  std::multimap<Micros, std::int64_t> timers_;
  std::vector<Action> log_;
};

TEST(QuotaAllocator, BeyondTheSliceIsRefusedEarlyWithAShortRetryAfter) {
  // Burst 20 over two gateways, nothing known: the even part and one more.
  GatewayHarness d;
  int sent = 0;
  int refused = 0;
  for (int i = 0; i < 25; ++i) {
    auto out = d.arrive(kMs, label("r", i));
    for (const SendAttempt& a : all<SendAttempt>(out)) {
      ++sent;
      d.end(kMs, a, Outcome::kOk);
    }
    for (const Reject& r : all<Reject>(out)) {
      ++refused;
      EXPECT_GT(r.retry_after, 0);
      EXPECT_LE(r.retry_after, 165 * kMs);  // a third of the aim
    }
  }
  EXPECT_EQ(sent, 20);
  EXPECT_EQ(refused, 5);
}

TEST(QuotaAllocator, NoNewUseNoCalls) {
  GatewayHarness d(counted_settings());
  d.run(5 * kS);
  EXPECT_TRUE(all<AddToCounter>(d.log()).empty());
}

TEST(QuotaAllocator, TheFirstRequestOfACustomerWaitsForItsTotalAndNoLongerThanATimeOut) {
  GatewayHarness d(counted_settings());
  auto out = d.arrive(100 * kMs, "r");
  auto calls = all<AddToCounter>(out);
  ASSERT_EQ(calls.size(), 1U);
  EXPECT_EQ(calls[0].amount, 1);
  EXPECT_LE(calls[0].forget_after, 60 * kS);
  EXPECT_TRUE(all<SendAttempt>(out).empty());
  EXPECT_EQ(all<SendAttempt>(d.run(160 * kMs)).size(), 1U);  // nobody answered
}

TEST(QuotaAllocator, GatewaysAgreeOnTheNames) {
  GatewayHarness one(counted_settings(), GatewayHarness::up({"a"}), 1);
  GatewayHarness two(counted_settings(), GatewayHarness::up({"a"}), 2);
  auto a = all<AddToCounter>(one.arrive(kS, "r"));
  auto b = all<AddToCounter>(two.arrive(1050 * kMs, "r"));
  ASSERT_EQ(a.size(), 1U);
  ASSERT_EQ(b.size(), 1U);
  EXPECT_EQ(a[0].name, b[0].name);
}

// Asks twelve units a second of a quota of ten, one in `gateways`, while the others ask `others` a
// second; what is let in of the last `judged` seconds. The counter fails with `fail` from second
// `from` on.
struct Played {
  double share = 0;
  std::size_t calls = 0;
};
Played play(double others, int gateways = 2, CounterOutcome fail = CounterOutcome::kOk,
            int from = 0, bool forget = false, double own = 12) {
  Settings s = counted_settings();
  s.gateway_count = gateways;
  GatewayHarness d(s);
  std::map<std::int64_t, double> totals;
  std::map<std::int64_t, Micros> begun;
  std::size_t calls = 0;
  int sent = 0;
  int asked = 0;
  const int steps = int(20 * own);
  for (int i = 0; i < steps; ++i) {
    const Micros now = 1000 * kS + Micros(double(i) / own * double(kS));
    RequestArrived r = GatewayHarness::request(label("p", i), now);
    r.gateway_subset_size = gateways;
    auto out = d.step(now, {r});
    auto late = d.run(now + 1);
    out.insert(out.end(), late.begin(), late.end());
    for (std::size_t k = 0; k < out.size(); ++k) {
      if (const auto* call = std::get_if<AddToCounter>(&out[k])) {
        ++calls;
        begun.try_emplace(call->name, now - (begun.empty() ? 0 : kS));
        double& own_total = totals[call->name];
        own_total += call->amount;
        CounterReply a;
        a.name = call->name;
        a.duration = kMs;
        const bool failing = now >= (1000 + from) * kS && fail != CounterOutcome::kOk;
        a.outcome = failing ? fail : CounterOutcome::kOk;
        a.total = own_total + others * double(now - begun[call->name]) / double(kS);
        if (forget && i > steps / 2) {
          a.total = 0.5 * call->amount;
        }
        auto more = d.step(now, {a});
        out.insert(out.end(), more.begin(), more.end());
      }
      if (const auto* a = std::get_if<SendAttempt>(&out[k])) {
        if (i >= steps / 2) {
          ++sent;
        }
        d.end(now, SendAttempt(*a), Outcome::kOk);
      }
    }
    if (i >= steps / 2) {
      ++asked;
    }
  }
  return {double(sent) / asked, calls};
}

TEST(QuotaAllocator, ProportionalOnceTheTotalReachesTheQuota) {
  EXPECT_NEAR(play(36).share, 10.0 / 48, 0.06);  // a quarter of ten a second, of twelve asked
  EXPECT_NEAR(play(0).share, 10.0 / 12, 0.06);
}

TEST(QuotaAllocator, ASliceOfAHundredthPassesItsPartAndNotNothing) {
  // One request in five seconds, of a customer that asks four times its quota through a hundred
  // gateways.
  EXPECT_NEAR(play(40, 100, CounterOutcome::kOk, 0, false, 5).share, 10.0 / 45, 0.08);
  EXPECT_GT(play(2, 100, CounterOutcome::kOk, 0, false, 2).share,
            0.95);  // and all of it while there is room
}

TEST(QuotaAllocator, ASilentOrRefusingCounterLeavesTheLastTotals) {
  for (CounterOutcome o : {CounterOutcome::kUnknown, CounterOutcome::kNotAdded}) {
    EXPECT_NEAR(play(36, 2, o, 8).share, 10.0 / 48, 0.08);
  }
}

TEST(QuotaAllocator, WithNoTotalEverAnEvenPart) {
  EXPECT_NEAR(play(36, 2, CounterOutcome::kNotAdded).share, 5.0 / 12, 0.1);
  EXPECT_LT(play(36, 100, CounterOutcome::kNotAdded).share, 0.05);
}

TEST(QuotaAllocator, ACounterThatForgotIsNotBelieved) {
  // A total of less than was added here proves loss; believed, it would give everything to us.
  EXPECT_NEAR(play(36, 2, CounterOutcome::kOk, 0, true).share, 10.0 / 48, 0.08);
}

TEST(QuotaAllocator, ACounterThatServesNobodyIsAskedLess) {
  EXPECT_LT(play(36, 2, CounterOutcome::kUnknown).calls, play(36).calls * 2);
  Settings s = counted_settings();
  GatewayHarness d(s);
  std::size_t early = 0;
  std::size_t late = 0;
  for (int i = 0; i < 4000; ++i) {
    RequestArrived r = GatewayHarness::request(label("x", i), i * 5 * kMs);
    r.customer = label("c", i);
    for (const AddToCounter& c : all<AddToCounter>(d.step(i * 5 * kMs, {r}))) {
      ++(i < 2000 ? early : late);
      CounterReply a;
      a.name = c.name;
      a.outcome = CounterOutcome::kUnknown;
      d.step(i * 5 * kMs, {a});
    }
  }
  EXPECT_GT(late, 5U);  // it is asked on, to notice its return
  EXPECT_LT(late, 25U);
  EXPECT_GT(early, late);
}

TEST(QuotaAllocator, CallsLostWithTheirConnectionDoNotSlowTheOthers) {
  // A reset under one call in five says nothing of the line at the counter; a fifth unanswered
  // would.
  const auto calls = [](Micros lost_after) {
    GatewayHarness d(counted_settings());
    std::size_t made = 0;
    for (int i = 0; i < 4000; ++i) {
      RequestArrived r = GatewayHarness::request(label("x", i), i * 5 * kMs);
      r.customer = label("c", i);
      for (const AddToCounter& c : all<AddToCounter>(d.step(i * 5 * kMs, {r}))) {
        CounterReply a{c.name, c.amount, CounterOutcome::kOk, kMs};
        if (++made % 5 == 0) {
          a = {c.name, 0, CounterOutcome::kUnknown, lost_after};
        }
        d.step(i * 5 * kMs + kMs, {a});
      }
    }
    return made;
  };
  EXPECT_GT(calls(kMs), 2000U);
  EXPECT_LT(calls(counted_settings().counter_timeout), 400U);
}

TEST(QuotaAllocator, AtAStartTheFirstCustomersAllGetATotal) {
  const auto asked_first = [](int gateways) {
    Settings s = counted_settings();
    s.gateway_count = gateways;
    GatewayHarness d(s);
    for (int i = 0; i < 20; ++i) {
      RequestArrived r = GatewayHarness::request(label("x", i), (i + 1) * kMs);
      r.customer = label("c", i);
      d.step((i + 1) * kMs, {r});
    }
    return all<AddToCounter>(d.log()).size();
  };
  EXPECT_EQ(asked_first(4), 20U);
  EXPECT_LE(asked_first(100), 4U);  // a hundred gateways would crowd it
}

TEST(QuotaAllocator, CallsLateAtAStartDoNotHoldThePaceForLong) {
  // Guards against a herd that crowds the counter in its first second, and asks once a second ever
  // after.
  Settings s = counted_settings();
  s.gateway_count = 100;
  GatewayHarness d(s);
  std::size_t calls = 0;
  for (int i = 0; i < 80; ++i) {
    const Micros now = (i + 1) * 100 * kMs;
    const bool crowded = now < kS;
    RequestArrived r = GatewayHarness::request(label("x", i), now);
    r.customer = label("c", i);
    for (const AddToCounter& c : all<AddToCounter>(d.step(now, {r}))) {
      if (now > 3 * kS) {
        ++calls;
      }
      const Micros took = crowded ? s.counter_timeout : kMs;
      d.step(now + took,
             {CounterReply{c.name, crowded ? 0 : c.amount,
                           crowded ? CounterOutcome::kUnknown : CounterOutcome::kOk, took}});
    }
  }
  EXPECT_GE(calls, 15U);  // in 5 s
}

TEST(QuotaAllocator, TheCallsOfAllGatewaysStayWithinWhatTheCounterTakes) {
  // A counter that serves 400 calls a second in turn, and gateways that meet 2,000 customers a
  // second.
  const Micros serves = 2'500;
  for (const int gateways : {4, 20, 100}) {
    Settings s = counted_settings();
    s.gateway_count = gateways;
    s.counter_timeout = 30 * kMs;
    std::vector<GatewayHarness> fleet;
    for (int i = 0; i < gateways; ++i) {
      fleet.emplace_back(s, GatewayHarness::up({"a", "b", "c"}), std::uint64_t(i + 1));
    }
    std::multimap<Micros, std::pair<int, CounterReply>> answers;
    Micros free = 0;
    int calls = 0;
    int late = 0;
    for (int i = 0; i < 24'000; ++i) {
      const Micros now = (i + 1) * 500;
      for (; !answers.empty() && answers.begin()->first <= now; answers.erase(answers.begin())) {
        fleet[std::size_t(answers.begin()->second.first)].step(now,
                                                               {answers.begin()->second.second});
      }
      const int at = int((std::uint64_t(i) * 7919) % std::uint64_t(gateways));
      RequestArrived r = GatewayHarness::request(label("x", i), now);
      r.customer = label("c", i);
      for (const AddToCounter& c : all<AddToCounter>(fleet[std::size_t(at)].step(now, {r}))) {
        free = std::max(free, now) + serves;
        const Micros took = std::min(free - now + kMs, s.counter_timeout);
        const bool ok = took < s.counter_timeout;
        answers.emplace(
            now + took,
            std::pair{at, CounterReply{c.name, ok ? c.amount : 0,
                                       ok ? CounterOutcome::kOk : CounterOutcome::kUnknown, took}});
        if (now > 6 * kS) {
          ++calls, late += !ok;
        }
      }
    }
    EXPECT_GE(calls, 6 * 80) << gateways;  // it is used
    EXPECT_LE(calls, 6 * 420) << gateways;
    EXPECT_LE(late, calls / 2) << gateways;
  }
}

TEST(QuotaAllocator, APaceThatIsNotUsedDoesNotGrow) {
  GatewayHarness d(counted_settings());
  const auto ask = [&](Micros now, const std::string& customer) {
    RequestArrived r = GatewayHarness::request("r" + customer, now);
    r.customer = customer;
    return all<AddToCounter>(d.step(now, {r}));
  };
  for (int i = 0; i < 600; ++i) {
    for (const AddToCounter& c : ask((i + 1) * 100 * kMs, label("quiet", i))) {
      d.step((i + 1) * 100 * kMs + kMs, {CounterReply{c.name, c.amount, CounterOutcome::kOk, kMs}});
    }
  }
  std::size_t calls = 0;
  for (int i = 0; i < 1000; ++i) {
    calls += ask(61 * kS, label("crowd", i)).size();
  }
  EXPECT_LE(calls, 100U);  // our half of what all gateways may call at first
  EXPECT_GE(calls, 20U);
}

TEST(QuotaAllocator, AfterASilenceCallsDoNotBeginAnew) {
  // A connection that went silent under calls in their dozens; then the counter answers as before.
  GatewayHarness d(counted_settings());
  std::size_t made[3] = {};
  for (int i = 0; i < 2400; ++i) {
    const Micros now = i * 5 * kMs;
    const int phase = i < 1200 ? 0 : i < 1800 ? 1 : 2;
    RequestArrived r = GatewayHarness::request(label("x", i), now);
    r.customer = label("c", i);
    for (const AddToCounter& c : all<AddToCounter>(d.step(now, {r}))) {
      ++made[phase];
      const Micros took = phase == 1 ? counted_settings().counter_timeout : kMs;
      d.step(now + took,
             {CounterReply{c.name, phase == 1 ? 0 : c.amount,
                           phase == 1 ? CounterOutcome::kUnknown : CounterOutcome::kOk, took}});
    }
  }
  EXPECT_GT(made[0], 200U);
  EXPECT_LT(made[1], 400U);
  EXPECT_GT(made[2], 100U);  // in the last 3 s
}

TEST(QuotaAllocator, ASpikeElsewhereLeavesTheStoreWithTheTotalThatTellsOfIt) {
  // A fading mean of it would let the whole store be spent a second time here.
  GatewayHarness d(counted_settings());
  const auto total = [&](Micros now, const std::vector<Action>& actions, double others) {
    const auto calls = all<AddToCounter>(actions);
    if (!calls.empty()) {
      d.step(now,
             {CounterReply{calls[0].name, calls[0].amount + others, CounterOutcome::kOk, kMs}});
    }
    return !calls.empty();
  };
  const Micros start = 1000 * kS;
  ASSERT_TRUE(total(start, d.arrive(start, "a"), 0));
  const auto again = d.arrive(start + 1100 * kMs, "b");
  ASSERT_TRUE(
      total(start + 1100 * kMs, again, 41));  // a whole burst, and twice what a second brings
  int sent = 0;
  for (int i = 0; i < 10; ++i) {
    sent += int(all<SendAttempt>(d.arrive(start + 1101 * kMs, label("c", i))).size());
  }
  EXPECT_LE(sent, 5);  // our slice of what is asked now
}

TEST(QuotaAllocator, WhoSpendsFastIsToldOfSooner) {
  GatewayHarness d(counted_settings());
  std::vector<Micros> calls;
  for (Micros now = 1000 * kS; now < 1001 * kS; now += 50 * kMs) {
    for (const AddToCounter& c : all<AddToCounter>(d.arrive(now, label("r", now)))) {
      calls.push_back(now - 1000 * kS);
      d.step(now + kMs, {CounterReply{c.name, double(calls.size()), CounterOutcome::kOk, kMs}});
    }
  }
  EXPECT_GE(calls.size(), 4U);
}

TEST(QuotaAllocator, LargeRequestsArePaidNoMoreThanTheSlice) {
  // Eight units every two seconds, 12 a second elsewhere: the slice is a quarter of the quota, 5 of
  // each 8.
  GatewayHarness d(counted_settings());
  std::map<std::int64_t, std::pair<Micros, double>> names;  // begun, our own total
  int sent = 0;
  for (int i = 0; i < 400; ++i) {
    const Micros now = 1001 * kS + i * 2 * kS;
    const auto out = d.arrive(now, label("r", i), 8);
    if (i >= 100) {
      sent += int(all<SendAttempt>(out).size());
    }
    for (const SendAttempt& a : all<SendAttempt>(out)) {
      d.end(now, a, Outcome::kOk);
    }
    for (const AddToCounter& c : all<AddToCounter>(out)) {
      auto& [begun, own] = names.try_emplace(c.name, now - kS, 0).first->second;
      const double total = (own += c.amount) + 12.0 * double(now - begun) / double(kS);
      d.step(now, {CounterReply{c.name, total, CounterOutcome::kOk, kMs}});
    }
  }
  EXPECT_NEAR(sent, 300 * 5 / 8, 10);
}

TEST(QuotaAllocator, ARequestLargerThanTheLocalStoreIsNotShutOutForEver) {
  Settings s = basic_settings();
  s.plans[0].quota_burst = 10;
  s.gateway_count = 10;
  GatewayHarness d2(s);
  RequestArrived r = GatewayHarness::request("r", kMs, 9);
  r.gateway_subset_size = 10;
  EXPECT_EQ(all<SendAttempt>(d2.step(kMs, {r})).size(), 1U);  // an even part and one more hold two
  r.id = "s";
  r.units = 1;
  EXPECT_EQ(all<SendAttempt>(d2.step(2 * kMs, {r})).size(), 0U);  // and are in debt
}

TEST(QuotaAllocator, UnitsSettledLaterAreTakenFromTheStore) {
  Settings s = basic_settings();
  s.units_settled_later = true;
  GatewayHarness d(s);
  auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
  AttemptCompleted e;
  e.id = "r";
  e.server = sent.at(0).server;
  e.request_answered = true;
  e.billed_units = 11;  // guessed as one
  d.step(2 * kMs, {e});
  EXPECT_EQ(d.burst(3 * kMs, 12), 9);  // of the twenty
}

TEST(Ceiling, ARestartTakesItsPartForSpent) {
  Settings s = basic_settings();
  s.plans[0].ceiling_rate = 20;
  s.plans[0].ceiling_burst = 40;
  GatewayHarness d(s);
  EXPECT_EQ(d.burst(kMs, 3), 0);
  EXPECT_EQ(d.burst(101 * kMs, 3), 1);  // ten units a second is our part
}

TEST(Ceiling, ADrawComesBeforeATotal) {
  // Guards against a total that uses up the last call: the request is within its slice, has no part
  // of the ceiling, and is refused. Calls are scarce where many gateways share the counter.
  Settings s = counted_settings();
  s.gateway_count = 100;
  s.plans[0].ceiling_rate = 20;
  s.plans[0].ceiling_burst = 40;
  GatewayHarness d(s);
  int sent = 0;
  for (int i = 0; i < 3; ++i) {
    RequestArrived r = GatewayHarness::request(label("r", i), (i + 1) * kMs);
    r.customer = label("c", i);
    auto out = d.step((i + 1) * kMs, {r});
    for (int calls = 0; calls < 3 && !all<AddToCounter>(out).empty(); ++calls) {
      const AddToCounter c = all<AddToCounter>(out)[0];
      out = d.step((i + 1) * kMs + 100 * (calls + 1),
                   {CounterReply{c.name, c.amount, CounterOutcome::kOk, 100}});
    }
    for (const SendAttempt& a : all<SendAttempt>(out)) {
      ++sent, d.end((i + 1) * kMs + 500, a, Outcome::kOk);
    }
  }
  EXPECT_EQ(sent, 3);
}

TEST(Ceiling, ACustomerMetLateFindsItsPartFull) {
  Settings s = basic_settings();
  s.plans[0].ceiling_rate = 20;
  s.plans[0].ceiling_burst = 40;
  GatewayHarness d(s);
  RequestArrived other = GatewayHarness::request("other", kS);
  other.customer = "c2";
  d.step(kS, {other});
  EXPECT_EQ(d.burst(1500 * kMs, 10), 5);  // ten units a second since the start is our part
  RequestArrived third = GatewayHarness::request("third", 10 * kS);
  third.customer = "c3";
  EXPECT_EQ(all<SendAttempt>(d.step(10 * kS, {third})).size(), 1U);
}

TEST(Ceiling, WhoIsRefusedByItIsToldWhenItHasRoom) {
  Settings s = basic_settings();
  s.plans[0].ceiling_rate = 20;
  s.plans[0].ceiling_burst = 40;
  GatewayHarness d(s);
  const auto refused = all<Reject>(d.arrive(kMs, "r"));
  ASSERT_EQ(refused.size(),
            1U);  // our part, ten units a second, is empty at a start; the slice is full
  EXPECT_NEAR(double(refused[0].retry_after.value()), 100 * kMs, 2 * kMs);
  EXPECT_EQ(all<SendAttempt>(d.arrive(2 * kMs + refused[0].retry_after.value(), "r2")).size(), 1U);
}

TEST(Ceiling, HoldsWithADeadCounter) {
  Settings s = basic_settings();
  s.plans[0].quota_rate = 1000;
  s.plans[0].quota_burst = 1000;
  s.plans[0].ceiling_rate = 20;
  s.plans[0].ceiling_burst = 40;
  GatewayHarness d(s);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    sent += d.burst(i * 50 * kMs, 4);
  }
  EXPECT_LE(sent, 10 * 5 + 20);
  EXPECT_GE(sent, 40);
}

// Some gateways of one customer on one counter, whose answers take a millisecond. Servers answer at
// once.
class Fleet {
 public:
  Fleet(Settings s, int n) {
    s.gateway_count = n;
    for (int i = 0; i < n; ++i) {
      gateways_.emplace_back(s, GatewayHarness::up({"a", "b", "c"}), std::uint64_t(i + 1));
    }
  }
  // Asks so many units of gateway `i`, one by one.
  void ask(std::size_t i, Micros now, int n) {
    for (; n > 0; --n) {
      RequestArrived r = GatewayHarness::request(label("r", ++asked), now);
      r.gateway_subset_size = int(gateways_.size());
      act(i, now, gateways_[i].run(now));
      act(i, now, gateways_[i].step(now, {r}));
    }
  }
  std::function<void(Micros)> on_sent = [](Micros) {};
  CounterOutcome outcome = CounterOutcome::kOk;
  bool answers = true;  // the counter does
  int asked = 0, sent = 0;

 private:
  void act(std::size_t i, Micros now, const std::vector<Action>& actions) {
    for (const SendAttempt& a : all<SendAttempt>(actions)) {
      ++sent;
      on_sent(now);
      act(i, now, gateways_[i].end(now, a, Outcome::kOk));
    }
    for (const AddToCounter& a : all<AddToCounter>(actions)) {
      totals_[a.name] += a.amount;
      if (!answers) {
        continue;
      }
      const CounterReply answer{a.name, totals_[a.name], outcome, kMs};
      act(i, now + kMs, gateways_[i].step(now + kMs, {answer}));
    }
  }
  std::vector<GatewayHarness> gateways_;
  std::map<std::int64_t, double> totals_;
};

// Customers of one plan, each through all of so many gateways, on one counter that serves calls in
// turn, so many a second, and answers within a millisecond more; a call that waited for the
// time-out was added, unanswered. Each customer asks `times` its quota, by chance in time, size and
// gateway. Servers answer at once.
class SpreadQuota {
 public:
  struct Result {
    double beyond = 0;     // units sent on beyond the quotas, of those sent on
    double with_room = 0;  // units refused while the customer's store held them, of those asked
    double inside = 0;     // units sent on inside the quotas, of what the quotas allow or was asked
    double calls = 0;      // a request
  };
  SpreadQuota(int gateways, double times, double calls_a_request)
      : times_(times), service_(calls_a_request) {
    Settings s = counted_settings();
    s.plans[0].quota_rate = kRate;
    s.plans[0].quota_burst = kBurst;
    s.max_request_units = 4;
    s.gateway_count = gateways;
    s.counter_timeout = 30 * kMs;
    for (int i = 0; i < gateways; ++i) {
      gateways_.emplace_back(s, GatewayHarness::up({"a", "b", "c", "d"}), std::uint64_t(i + 1));
    }
    stores_.assign(kCustomers, {kBurst, kStart});
  }
  Result play() {
    const double gap =
        2 / (kRate * times_ * kCustomers);  // s between requests of two units on average
    service_ = gap / service_;
    const Micros end = kStart + 10 * kS;
    for (double at = 0; kStart + Micros(at * kS) < end; at -= std::log(1 - chance()) * gap) {
      const Micros now = kStart + Micros(at * kS);
      answer_until(now);
      const int customer = int(chance() * kCustomers);
      RequestArrived r =
          GatewayHarness::request(label("r", ++asked_), now, 1 + std::floor(chance() * 3));
      r.customer = label("c", customer);
      r.gateway_subset_size = int(gateways_.size());
      open_[r.id] = {customer, r.units};
      units_ += r.units;
      // A skewed choice: some gateways see several times the mean.
      const auto i = std::size_t(std::pow(chance(), 1.5) * double(gateways_.size()));
      act(i, now, gateways_[i].run(now));
      act(i, now, gateways_[i].step(now, {r}));
    }
    answer_until(end);
    const double allowed = std::min(units_, kCustomers * (kRate * 10 + kBurst));
    return {beyond_ / (beyond_ + inside_), with_room_ / units_, inside_ / allowed,
            double(calls_) / asked_};
  }

 private:
  static constexpr double kRate = 10, kBurst = 18;
  static constexpr int kCustomers = 60;
  static constexpr Micros kStart = 1000 * kS;
  struct Store {
    double units = 0;
    Micros at = 0;
  };
  double chance() {
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return double(random_ >> 11) * 0x1p-53;
  }
  void answer_until(Micros until) {
    while (!answers_.empty() && answers_.begin()->first <= until) {
      const auto [at, answer] = *answers_.begin();
      answers_.erase(answers_.begin());
      act(answer.first, at, gateways_[answer.first].step(at, {answer.second}));
    }
  }
  void act(std::size_t i, Micros now, const std::vector<Action>& actions) {
    for (const Reject& a : all<Reject>(actions)) {
      judge(now, a.id, false);
    }
    for (const SendAttempt& a : all<SendAttempt>(actions)) {
      judge(now, a.id, true);
      act(i, now, gateways_[i].end(now, a, Outcome::kOk));
    }
    for (const AddToCounter& a : all<AddToCounter>(actions)) {
      ++calls_;
      free_at_ = std::max(free_at_, double(now)) + service_ * kS;
      const Micros took = Micros(free_at_) - now + kMs / 2;
      const bool late = took > 30 * kMs;
      CounterReply answer{a.name, totals_[a.name] += a.amount, CounterOutcome::kOk, took};
      if (late) {
        answer = {a.name, 0, CounterOutcome::kUnknown, 30 * kMs};
      }
      answers_.emplace(now + answer.duration, std::pair(i, answer));
    }
  }
  void judge(Micros now, const std::string& id, bool sent) {
    const auto [customer, units] = open_.at(id);
    Store& s = stores_[std::size_t(customer)];
    s.units = std::min(kBurst, s.units + kRate * double(now - std::exchange(s.at, now)) / kS);
    const bool room = s.units >= units;
    if (sent && room) {
      s.units -= units;
    }
    (sent ? room ? inside_ : beyond_ : room ? with_room_ : nothing_) += units;
  }
  double times_, service_;
  std::vector<GatewayHarness> gateways_;
  std::vector<Store> stores_;
  std::map<std::string, std::pair<int, double>> open_;
  std::map<std::int64_t, double> totals_;
  std::multimap<Micros, std::pair<std::size_t, CounterReply>> answers_;
  std::uint64_t random_ = 1;
  double free_at_ = 0, units_ = 0, inside_ = 0, beyond_ = 0, with_room_ = 0, nothing_ = 0;
  int asked_ = 0, calls_ = 0;
};

TEST(QuotaAllocator, HundredsOfGatewaysRaiseTheErrorOfAQuotaNoFurther) {
  std::printf(
      "gateways  asked / quota  beyond / sent  refused with room / asked  inside / allowed  calls "
      "a "
      "request\n");
  for (const double times : {0.7, 2.0, 4.0}) {
    double ten = 0;
    for (const int gateways : {3, 10, 30, 100, 300}) {
      const auto r = SpreadQuota(gateways, times, 1.2).play();
      std::printf("%8d %14.1f %14.3f %26.3f %17.3f %16.2f\n", gateways, times, r.beyond,
                  r.with_room, r.inside, r.calls);
      if (gateways == 10) {
        ten = r.beyond;
      }
      if (gateways <= 10) {
        continue;
      }
      EXPECT_LE(r.beyond, ten + 0.01)
          << gateways << " gateways, asked " << times << " times the quota";
      EXPECT_GE(r.inside, 0.85) << gateways << " gateways, asked " << times << " times the quota";
    }
  }
}

// Under a ceiling of 20 units a second and 40 at once. Each gateway is asked every 50 ms for as
// many units as `asks` says; what a store of the ceiling's size fell to at the least, and what was
// sent.
struct Ceiled {
  double least = 40;
  int sent = 0, asked = 0;
};
Ceiled play_ceiling(const std::vector<int>& asks, double rate,
                    CounterOutcome outcome = CounterOutcome::kOk) {
  Settings s = counted_settings();
  s.plans[0].quota_rate = rate;
  s.plans[0].quota_burst = 2 * rate;
  s.plans[0].ceiling_rate = 20;
  s.plans[0].ceiling_burst = 40;
  Fleet fleet(s, int(asks.size()));
  Ceiled out;
  double store = 40;
  Micros filled = 0;
  fleet.outcome = outcome;
  fleet.on_sent = [&](Micros now) {
    store = std::min(40.0, store + 20 * double(now - filled) / kS) - 1;
    filled = now;
    out.least = std::min(out.least, store);
  };
  for (Micros now = 100 * kMs; now < 12 * kS; now += 50 * kMs) {
    for (std::size_t i = 0; i < asks.size(); ++i) {
      fleet.ask(i, now, asks[i]);
    }
  }
  out.sent = fleet.sent;
  out.asked = fleet.asked;
  return out;
}

TEST(Ceiling, WhoComesThroughOneGatewayHasMoreThanItsEvenPart) {
  // Twenty a second, all that the ceiling gives; an even part is five.
  const Ceiled one = play_ceiling({1, 0, 0, 0}, 1000);
  EXPECT_GE(one.sent, one.asked / 2);
  EXPECT_GE(one.least, 0);
}

TEST(Ceiling, AllGatewaysTogetherKeepIt) {
  for (const auto& asks : std::vector<std::vector<int>>{{4, 0, 0, 0}, {2, 2, 2, 2}, {1, 0, 3, 1}}) {
    const Ceiled all = play_ceiling(asks, 1000);
    EXPECT_GE(all.least, 0);
    EXPECT_GE(all.sent, 20 * 12 / 2);
  }
}

TEST(Ceiling, ADrawThatMayNotHaveBeenAddedIsNotUsed) {
  const Ceiled lost = play_ceiling({4, 4}, 1000, CounterOutcome::kUnknown);
  EXPECT_LE(lost.sent, 0.5 * 20 * 12);  // the even parts alone, which start empty
  EXPECT_GT(lost.sent, 0);
}

TEST(QuotaAllocator, ASpikeThroughAllGatewaysDoesNotSpendTheStoreOnceEach) {
  Settings s = counted_settings();
  s.plans[0].quota_rate = 40;
  s.plans[0].quota_burst = 80;
  Fleet fleet(s, 4);
  for (Micros now = 100 * kMs; now < 3 * kS; now += 200 * kMs) {
    for (std::size_t i = 0; i < 4; ++i) {
      fleet.ask(i, now, 1);  // half of the quota, evenly
    }
  }
  EXPECT_EQ(fleet.sent, fleet.asked);
  fleet.answers = false;
  const int before = fleet.sent;
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.ask(i, 3 * kS, 100);
  }
  EXPECT_LE(fleet.sent - before, 100);  // of eighty
  EXPECT_GE(fleet.sent - before, 60);
}

TEST(Rules, OutcomesTimersAndDeparturesOfEndedRequestsAreIgnored) {
  GatewayHarness d;
  auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
  d.end(2 * kMs, sent.at(0), Outcome::kOk);
  auto out = d.end(3 * kMs, sent[0], Outcome::kTimeout);
  EXPECT_TRUE(all<SendAttempt>(out).empty());
  EXPECT_TRUE(d.step(4 * kMs, {ClientDisconnected{"r"}, ClientDisconnected{"never seen"},
                               TimerFired{987654}})
                  .empty());
  auto late = d.run(2 * kS);
  EXPECT_TRUE(all<SendAttempt>(late).empty());
  EXPECT_TRUE(all<Reject>(late).empty());
}

TEST(Module, BadInputNeitherCrashesNorLosesARequest) {
  Settings s = counted_settings();
  s.gateway_count = 0;
  GatewayHarness d(s);
  std::vector<Event> events;
  for (int i = 0; i < 1000; ++i) {
    RequestArrived r = GatewayHarness::request(label("r", i), kS);
    r.gateway_subset_size = i % 3 ? 1000 : -5;
    r.gateway_subset_start = i % 2 ? -7 : 900;
    r.units = i % 5 ? 1 : 0;
    r.customer = label("c", i % 50);
    events.emplace_back(r);
  }
  auto out = d.step(kS, events);
  auto sent = all<SendAttempt>(out);
  ASSERT_FALSE(sent.empty());
  AttemptCompleted e;
  e.id = sent[0].id;
  e.server = sent[0].server;
  e.request_answered = true;
  e.duration = -5;
  e.load.in_flight = 1e30;
  e.load.queued = -3;
  auto more = d.step(kS + kMs, {e, CounterReply{}, HealthCheckCompleted{}, EndpointListUpdate{}});
  out.insert(out.end(), more.begin(), more.end());
  auto rest = d.run(4 * kS);
  out.insert(out.end(), rest.begin(), rest.end());
  std::map<std::string, int> answers;
  for (const Reject& r : all<Reject>(out)) {
    ++answers[r.id];
  }
  for (const Fail& f : all<Fail>(out)) {
    ++answers[f.id];
  }
  for (const auto& [id, n] : answers) {
    EXPECT_EQ(n, 1) << id;
  }
  std::set<std::string> attempted;
  for (const SendAttempt& a : all<SendAttempt>(out)) {
    attempted.insert(a.id);
  }
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(answers.count(label("r", i)) || attempted.count(label("r", i))) << i;
  }
}

TEST(Module, UnknownPlanAndClassAreStillServed) {
  GatewayHarness d;
  RequestArrived r = GatewayHarness::request("x", 0);
  r.plan = "no such plan";
  r.request_class = "no such class";
  r.gateway_subset_size = 0;
  EXPECT_EQ(all<SendAttempt>(d.step(0, {r})).size(), 1U);
}

TEST(Module, TheLogTellsWhyRequestsWereRefused) {
  GatewayHarness d;
  d.burst(kMs, 25);  // five past the slice
  d.run(12 * kS);
  std::string told;
  for (const LogLine& l : all<LogLine>(d.log())) {
    if (l.text.rfind("refused: ", 0) == 0) {
      told += l.text;
    }
  }
  EXPECT_NE(told.find("slice 5 "), std::string::npos) << told;
  EXPECT_NE(told.find("ceiling 0 "), std::string::npos) << told;
  EXPECT_NE(told.find("of 25;"), std::string::npos) << told;
}

TEST(Module, SameEventsSameActions) {
  auto play = [] {
    GatewayHarness d;
    for (int i = 0; i < 50; ++i) {
      d.burst(i * 30 * kMs, 3);
    }
    d.run(3 * kS);
    std::vector<std::string> out;
    for (const SendAttempt& a : all<SendAttempt>(d.log())) {
      out.push_back(a.id + a.server);
    }
    return out;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace quota_gateway
