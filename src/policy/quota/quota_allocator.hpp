// A gateway's part of a customer's quota, by its share of the customer's measured demand.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "policy/quota/shared_pool.hpp"
#include "policy/rejection_stats.hpp"
#include "policy/time_units.hpp"
#include "util/decaying_mean.hpp"
#include "util/hash.hpp"
#include "util/random.hpp"
#include "util/string_join.hpp"

namespace quota_gateway::policy {

constexpr Micros kUrgentPeriod = kPeriod / 8;  // us; the least for a customer who spends fast
constexpr double kUrgent = 0.1;    // of the burst, asked here since the last call, is fast
constexpr double kMaxHorizon = 5;  // s; longest smoothing of others' demand, even for a deep burst
constexpr Micros kEpoch =
    16 * kPeriod;  // a counter name serves so long; a new one frees a lost count
constexpr Micros kKnownFor = 4 * kEpoch;  // a customer or a total older than this is forgotten
constexpr double kOwnMemory =
    2;  // s; smoothing of own demand, which tells of a spike before any total
constexpr double kIdleGuess = 0.5;     // of the quota: asked by others, before any total is known
constexpr double kKnownWeight = 0.25;  // of a request of a known customer, for the need of a call
constexpr double kFresh = 0.25;        // of whole quotas: names hold less while a counter is new
constexpr double kFreshKeep = 0.95;    // of that evidence, a total
constexpr double kThin = 0.1;     // of the largest request, an even part of the quota in a period
constexpr double kDrawAim = 1.5;  // of the quota, what all draw where more is asked
constexpr double kPassLeast = 0.02;   // of a customer's requests
constexpr double kCreditMost = 2;     // requests that a slice past the quota may save up for
constexpr double kOpenSpread = 0.85;  // deviations that the mean stays under an open cap
constexpr double kOpenLeast = 0.3;    // of an open cap, that mean at the least
constexpr double kOpenBurst = 1;      // s of an open cap's rate that may be met at once
constexpr double kCallsFirst =
    200;  // of all gateways: at once, and a second before the bound is met
constexpr double kCallsFirstLeast = 2;  // of each
constexpr double kCallsLeast = 1;       // at the least, to notice its return
constexpr double kCrowded = 0.2;    // part of the calls failed or slow at which the pace is held
constexpr double kCrowdGain = 0.1;  // an answer; smoothing of that part
constexpr Micros kCrowdMemory = kPeriod;  // us; the few calls after a crowd must not keep it alive
constexpr double kLateWeight = 5;  // refused calls that a late one counts for: all meet that line
constexpr double kPaceGain = 0.5;  // of the pace, a second, up while calls are answered
constexpr double kPaceBack = 0.5;  // of the pace before a silence, after it
constexpr int kDownAfter =
    6;  // failed calls in a row: down; nobody waits, and its pace is found anew
constexpr double kAdviseShare =
    0.33;  // of the aim: longest retry-after, so that a retry still ends in time

struct CustomerState {
  const PlanSettings* plan = nullptr;
  std::uint64_t key = 0;
  int gateway_subset_size = 1, open = 0;  // gateways it comes through; attempts out
  int asks = 0, calling = 0;  // requests that no call has carried yet; calls on their way
  double rate = 0;            // of the quota: units, or attempt-seconds under an open cap, a second
  Micros last_use = 0, called_at = 0;
  Micros at = 0,
         ceiling_at = 0;  // up to when demand has faded and the store, or our part, has filled
  double own = 0,
         others = 0;  // units a second asked: here, refused ones too, fading mean; elsewhere
  double store = 0;   // units the customer has left, as far as this gateway can tell
  double part = 0;    // units of it that are ours to spend until the next total
  double drawn = 0;   // units that others are taken to have drawn from it since the last total
  double credit = 0;  // units of our slice not yet spent, while the whole store is empty
  double uncounted = 0,
         last_units = 0;  // units asked here that no call has carried yet; in the last request
  Micros read_at = 0, seen_at = 0;  // last believed total, 0: none; and last read of the name
  std::int64_t epoch = 0;           // the counter name that `seen` belongs to
  double seen = 0, added = 0;       // its total when last read; what our own calls have added since
  std::vector<std::string> waiting;  // requests that wait for the first total
  double ceiling = 0;                // units left of our even part of the ceiling
  PoolReservation of_ceiling, of_quota;
  double pass = 1,
         turn = 0;  // of its requests, those that may draw on the quota; and what adds up to one
};

class QuotaAllocator {
 public:
  QuotaAllocator(const Settings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed) {}

  CustomerState& find(Micros now, const RequestArrived& r, const PlanSettings& plan) {
    CustomerState& c = customers_[r.customer];
    if (born_ == 0) {
      born_ = now - settings_.clock_tick;
    }
    c.gateway_subset_size =
        processes_ * (r.gateway_subset_size > 0
                          ? std::min(r.gateway_subset_size, settings_.gateway_count)
                          : settings_.gateway_count);
    if (c.plan != &plan) {
      c.plan = &plan;
      c.key = hash_text(r.customer);
      c.rate = rate(plan);
      c.at = now;
      // Danger: a predecessor may just have spent our part of the ceiling: it fills from our start
      // on.
      c.ceiling = 0;
      c.ceiling_at = born_;
      c.store = c.part = depth(c);
      c.others = c.rate * (1 - 1.0 / c.gateway_subset_size);
    }
    c.last_use = now;
    return c;
  }

  // Of a quota. An open cap, as attempt-seconds a second: so many out that chance seldom passes the
  // cap.
  static double rate(const PlanSettings& plan) {
    const double open = plan.max_concurrent_attempts;
    return plan.quota_rate > 0 ? plan.quota_rate
                               : std::max(kOpenLeast * open, open - kOpenSpread * std::sqrt(open));
  }
  double burst(const CustomerState& c) const {
    return c.plan->quota_rate > 0 ? c.plan->quota_burst : c.rate * kOpenBurst;
  }
  // Danger: each gateway would let all in of a customer that no total has told of. It has an even
  // part first.
  double depth(const CustomerState& c) const {
    return burst(c) * (c.read_at > 0 ? 1 : std::min(1.0, 2.0 / c.gateway_subset_size));
  }
  // Danger: a small quota sees nought or a whole burst in one second; so it is smoothed over the
  // burst.
  double memory(const CustomerState& c) const {
    return std::clamp(burst(c) / std::max(c.rate, 1e-9), 1.0, kMaxHorizon);
  }

  // Fills the store by what others leave. Danger: a hundredth of one holds less than a request; all
  // see it whole.
  void advance(Micros now, CustomerState& c) {
    const double dt = double(now - c.at) / kSecond;
    if (dt <= 0) {
      return;
    }
    c.at = now;
    c.own *= std::exp(-dt / kOwnMemory);
    const double before = c.store;
    c.store =
        std::min(depth(c), std::max(std::min(c.store, 0.0), c.store + (c.rate - c.others) * dt));
    c.part += std::max(0.0, c.store - before);
    c.drawn +=
        before + c.rate * dt - c.store;  // what an empty store can't give, others did not get
  }

  // Demand arrives. Past the quota the slice is the quota times our own demand over the total: what
  // room has not filled in comes with the demand itself, also for one request an hour. Danger:
  // demand grows with each request; paid by what it was before, large ones got a tenth more than
  // the slice: hence the logarithms.
  void count(Micros now, CustomerState& c, double units) {
    advance(now, c);
    const double quota = c.rate;
    const double room = std::max(0.0, quota - c.others);
    if (c.read_at > 0 && c.store < units && c.own + c.others > quota) {
      const double after = c.own + units / kOwnMemory;
      const double by_room = c.own > 0 ? room * std::log(after / c.own) : 0;
      const double slice = quota * std::log((after + c.others) / (c.own + c.others)) - by_room;
      c.credit += std::clamp(kOwnMemory * slice, 0.0, units);
      c.credit = std::min(c.credit, kCreditMost * units);
    }
    c.own += units / kOwnMemory;
    c.uncounted += units;
    c.last_units = units;
    ++c.asks;
  }

  // Danger: through hundreds of gateways each meets a customer once in 10 s or more, and a slice by
  // a total as old as that says nothing of this moment. So few units to an even part are drawn, one
  // request at a time.
  bool thin(const CustomerState& c) const {
    return settings_.has_counter && c.plan->quota_rate > 0 &&
           c.plan->quota_rate * double(kPeriod) / kSecond <
               kThin * settings_.max_request_units * c.gateway_subset_size;
  }
  // Past the quota only so many draw that their draws add up to a little more than it.
  bool may_draw(CustomerState& c) {
    if (c.of_quota.window == 0) {
      c.turn = uniform(random_);
    }
    c.turn += c.pass;
    return c.turn >= 1 && (c.turn -= 1, true);
  }
  // What all drew in a window up to now tells how much is asked.
  void drew(Micros now, CustomerState& c, double total, double seconds) {
    advance(now, c);
    const double asked = total / seconds;
    c.others = std::max(0.0, asked / c.pass - c.own);
    c.pass = std::clamp(c.pass * kDrawAim * c.rate / asked, kPassLeast, 1.0);
    c.store = std::clamp(burst(c) - total, 0.0, burst(c));
    c.part = fraction(c) * c.store;
    c.read_at = now;
  }

  // Is this request within the slice? One larger than the whole store passes when that is full.
  bool covers(const CustomerState& c, double units) const {
    return c.rate <= 0 || std::max(in_store(c), c.credit) >= std::min(units, depth(c)) - 1e-9;
  }
  // What it is taken from, to be given back there.
  double* take(CustomerState& c, double units, double* from = nullptr) const {
    const bool stored = in_store(c) >= std::min(units, depth(c)) - 1e-9;
    if (!from) {
      from = stored ? &c.store : &c.credit;
    }
    give_back(c, from, -units);
    return from;
  }
  void give_back(CustomerState& c, double* to, double units) const {
    if (c.rate <= 0) {
      return;
    }
    *to += units;
    if (to == &c.store) {
      c.part += units;
    }
  }

  // Our fraction of the whole: own demand and an even part of the room; past the quota our share of
  // demand.
  double fraction(const CustomerState& c) const {
    const double all = c.own + c.others;
    if (all >= c.rate) {
      return c.own / std::max(all, 1e-9);
    }
    return (c.own + (c.rate - all) / c.gateway_subset_size) / c.rate;
  }
  // What is left in the store. Danger: between two totals a spike would go through as often as
  // there are gateways. Each spends its fraction; one request may go past it, or a small fraction
  // held none.
  double in_store(const CustomerState& c) const {
    return c.part > 0 ? c.store : std::min(c.store, 0.0);
  }

  // When the slice will have filled enough. Danger: a client that returns after the aim earns
  // nothing.
  Micros retry_after(const CustomerState& c, double units, Micros aim, Micros least) {
    const double fill =
        std::max({c.rate - c.others, c.rate * c.own / (c.own + c.others + 1e-9), 1e-6});
    const double lacking = std::max(0.0, units - std::max(c.store, c.credit)) / fill * kSecond;
    const double most = std::min(double(settings_.max_retry_after), kAdviseShare * double(aim));
    return std::max(settings_.clock_tick, Micros(std::min(most, std::max(lacking, double(least)))));
  }

  // Hands own demand to the counter if a call is due, and tells whether a first total is on its
  // way.
  bool call(Micros now, const std::string& who, CustomerState& c, std::vector<Action>& out) {
    const bool known = c.read_at > 0;
    if (!settings_.has_counter || c.rate <= 0 || c.uncounted <= 0 || thin(c)) {
      return false;
    }
    if (!known && c.calling > 0) {
      return !silent();
    }
    const double most = refill(now);
    // The fewer calls are to spare, the more requests must one carry, or customers met now and then
    // would use up what the counter bears. Danger: in a period all gateways may each spend the
    // store that they see. Who spends fast is told of sooner, unless calls are short.
    const bool urgent = c.uncounted >= kUrgent * burst(c) && 2 * calls_ > most;
    if (c.calling > 0 || (known && now - c.called_at < (urgent ? kUrgentPeriod : kPeriod))) {
      return false;
    }
    if (calls_ < 1 || c.asks * (known ? kKnownWeight : 1) < most / calls_ - (1 - kKnownWeight)) {
      return false;
    }
    calls_ -= 1;
    // All gateways switch to a new name at once, at times spread over the customers.
    const Micros phase = Micros(c.key % std::uint64_t(kEpoch));
    const std::int64_t epoch = (now + phase) / kEpoch;
    if (epoch != c.epoch) {
      c.epoch = epoch;
      c.seen = c.added = 0;
      const Micros begun = epoch * kEpoch - phase;  // what was asked before is in no total
      if (begun > c.seen_at) {
        c.drawn *= double(now - begun) / double(now - c.seen_at);
      }
      c.seen_at = begun;
    }
    const auto name = std::int64_t(mix(c.key ^ mix(std::uint64_t(epoch))) >> 2);
    pending_[name] = {who, c.uncounted};
    out.emplace_back(AddToCounter{name, c.uncounted, 2 * kEpoch});
    c.uncounted = c.asks = 0;
    c.called_at = now;
    ++c.calling;
    return !known && !silent();
  }

  // Once a period: demand that lingers is handed on, idle customers are forgotten.
  void look(Micros now, std::vector<Action>& out) {
    for (auto it = customers_.begin(); it != customers_.end();) {
      auto here = it++;
      advance(now, here->second);
      if (now - here->second.last_use > kKnownFor && here->second.open == 0 &&
          here->second.calling == 0 && !here->second.of_ceiling.drawing &&
          !here->second.of_quota.drawing) {
        customers_.erase(here);
      } else {
        call(now, here->first, here->second, out);
      }
    }
  }

  // For the log: customers with a total of late, and how the counter's calls went since last asked.
  std::string state(Micros now) {
    int known = 0;
    for (const auto& [name, c] : customers_) {
      known += c.read_at > 0 && now - c.read_at < 2 * kPeriod;
    }
    return join("customers ", customers_.size(), " (total of late ", known, "), ",
                std::exchange(told_, {}).text(), ", pace ", int(call_rate_));
  }

  // While this gateway is several processes, each is one of a customer's set that is so many times
  // larger. Danger: what was met by no request until now was not filled by our part alone; it fills
  // anew.
  void split(Micros now, int processes) {
    born_ = now;
    for (auto& [name, c] : customers_) {
      c.gateway_subset_size = c.gateway_subset_size / processes_ * processes;
    }
    processes_ = processes;
  }

  template <typename What>
  void each(const What& what) {
    for (auto& [name, c] : customers_) {
      what(c);
    }
  }
  void replan(Micros now) {
    for (auto& [name, c] : customers_) {
      advance(now, c);
      c.rate = rate(*c.plan);
      if (c.read_at <= 0) {
        c.others = c.rate * (1 - 1.0 / c.gateway_subset_size);
      }
      c.store = std::min(c.store, depth(c));
    }
  }

  bool silent() const { return in_a_row_ >= kDownAfter; }

  // `ahead`: s of the calls to come that may be used up, for a ceiling has to be held first.
  bool spare_call(Micros now, double ahead) {
    if (!settings_.has_counter || silent()) {
      return false;
    }
    refill(now);
    if (calls_ < 1 - ahead * call_rate_) {
      return false;
    }
    calls_ -= 1;
    return true;
  }

  // With no call to spare. Danger: with what others draw, slices past the quota came to twice as
  // much.
  bool passes_undrawn(const CustomerState& c, double units) const {
    return covers(c, units) && (silent() || c.read_at <= 0 || c.own + c.others <= c.rate);
  }

  // The counter answered or failed to. Returns the customer it was about.
  CustomerState* answered(Micros now, const CounterReply& a) {
    const auto call = pending_.extract(a.name);
    if (call.empty()) {
      return nullptr;
    }
    const auto [who, amount] = call.mapped();
    const auto it = customers_.find(who);
    if (it == customers_.end()) {
      return nullptr;
    }
    CustomerState& c = it->second;
    --c.calling;
    if (a.outcome == CounterOutcome::kNotAdded) {
      c.uncounted += amount;
    }
    if (a.outcome != CounterOutcome::kOk) {
      return &c;
    }
    c.added += amount;
    double dt = double(now - c.seen_at) / kSecond;
    const double all = a.total - c.seen;
    if (c.seen <= 0) {
      // Danger: a total of a counter that was just emptied is younger than its name; all totals
      // tell.
      could_ = kFreshKeep * could_ + c.rate * dt;
      had_ = kFreshKeep * had_ + all;
      if (had_ < kFresh * could_) {
        dt = std::min(dt, double(now - born_) / kSecond);
      }
    }

    // Danger: a counter that forgot. Less than we added ourselves proves it; then nothing is
    // believed.
    if (all >= c.added * 0.999 && dt > 0) {
      advance(now, c);
      const bool first = c.read_at <= 0;
      if (first) {
        c.others = kIdleGuess * c.rate;
      }

      // Danger: a smoothed rate learns of a spike elsewhere when the store has long been spent
      // there. What was asked beyond what was assumed leaves the store at once, and what was not
      // comes back; up to a second's debt, for others' calls are late too. Harm: demand that others
      // refused counts too.
      const double asked = all - c.added;
      const double least = std::min(c.store, -c.rate);
      if (!first) {
        c.store = std::min(depth(c), std::max(least, c.store + c.drawn - asked));
      }
      c.others += (1 - std::exp(-dt / memory(c))) * (asked / dt - c.others);
      if (first) {
        // With nothing left a gateway's first request passes as often as its slice says, not never.
        const double asked = (c.others + amount / std::max(dt, memory(c))) / c.rate;
        const double full = std::clamp((1 - asked) / (1 - kIdleGuess), 0.0, 1.0);
        c.store = burst(c) * full;
        if (full <= 0) {
          c.credit = c.last_units * (uniform(random_) + 1 / asked);
        }
      }
      c.part = fraction(c) * std::max(0.0, c.store);
      c.read_at = now;
    }
    c.seen = a.total;
    c.seen_at = now;
    c.added = c.drawn = 0;
    return &c;
  }

  // Danger: a counter asked more than it can serve answers next to nobody; every gateway sees that
  // alike and slows down alike. A call that is lost at once, under a reset or a reply without a
  // number, tells of its connection and not of the line at the counter: the pace stays, until
  // kDownAfter are lost in a row.
  void pace(Micros now, const CounterReply& a) {
    crowd_ *= decay_factor(now - std::exchange(crowd_at_, now), kCrowdMemory);
    const bool ok = a.outcome == CounterOutcome::kOk;
    const bool unknown = a.outcome == CounterOutcome::kUnknown;
    const bool back = ok && silent();
    const bool slow = 2 * a.duration > settings_.counter_timeout;
    told_.add(a.outcome, slow);
    if (in_a_row_ == 0) {
      good_rate_ = call_rate_;  // before the calls that fail in a row now
    }
    // Danger: calls on a connection that went silent come late one and all, whatever the line at
    // the counter.
    if (back) {
      call_rate_ = std::max(call_rate_, kPaceBack * good_rate_);
    }
    in_a_row_ = ok ? 0 : in_a_row_ + 1;
    if (unknown && !slow && !silent()) {
      return;
    }
    crowd_ = back ? 0
                  : crowd_ + kCrowdGain * ((unknown       ? kLateWeight
                                            : ok && !slow ? 0
                                                          : 1) -
                                           crowd_);
    // Danger: a pace that grew unused says nothing of what the counter bears; all would meet it at
    // once.
    const bool grows = 2 * calls_ < std::max(first_calls(), call_rate_);
    if (crowd_ > 0) {
      const double change = kPaceGain / std::max(1.0, call_rate_) * (1 - crowd_ / kCrowded);
      call_rate_ = std::max(
          kCallsLeast, call_rate_ * (1 + std::clamp(change, -kPaceGain, grows ? kPaceGain : 0)));
    } else if (grows) {
      call_rate_ += 1;
    }
  }

 private:
  double first_calls() const {
    return std::max(kCallsFirstLeast, kCallsFirst / std::max(1, settings_.gateway_count));
  }
  double refill(Micros now) {
    const double most = std::max(first_calls(), call_rate_);
    calls_ = std::min(most, calls_ + call_rate_ * double(now - calls_at_) / kSecond);
    calls_at_ = now;
    return most;
  }
  const Settings& settings_;
  std::uint64_t random_;
  double call_rate_ = first_calls(), calls_ = first_calls(), good_rate_ = first_calls();
  double crowd_ = 0;  // part of the calls that failed or took long; fading mean
  Micros calls_at_ = 0, crowd_at_ = 0, born_ = 0;
  CounterCalls told_;  // since last told
  double could_ = 0,
         had_ = 0;  // units: what whole quotas would have come to, and what first totals were
  int processes_ = 1, in_a_row_ = 0;  // of this gateway; calls that failed last
  std::map<std::string, CustomerState> customers_;
  std::unordered_map<std::int64_t, std::pair<std::string, double>>
      pending_;  // by name, never walked
};

}  // namespace quota_gateway::policy
