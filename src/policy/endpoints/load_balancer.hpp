// Which servers: our part of them, their health and warmth, and how much may be out.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>

#include "policy/endpoints/endpoint_list.hpp"
#include "policy/endpoints/outcome_counts.hpp"
#include "policy/time_units.hpp"
#include "util/decaying_mean.hpp"
#include "util/random.hpp"
#include "util/sliding_window_sum.hpp"
#include "util/string_join.hpp"
#include "util/weighted_sample.hpp"

namespace quota_gateway::policy {

constexpr double kGolden =
    0.6180339887498949;                // multiples of it, round a ring, lie evenly and far apart
constexpr double kSharers = 10;        // gateways that share a server, about, where there are more
constexpr double kLeastPart = 6;       // servers that a gateway uses, at the least
constexpr int kDraws = 2;              // servers compared for an attempt, and our part of them
constexpr std::size_t kWindow = 16;    // servers of a large part that an attempt looks at
constexpr double kStartSlack = 0.125;  // of our part: how far off its even place it may begin
constexpr Micros kWarmEvery = 300;     // us a server of our part, between looks at who has warmed
constexpr double kZoneBias =
    1.08;  // a server elsewhere must look so much better to be worth crossing
constexpr double kPriorSamples =
    8;  // answers' worth of "as good as its peers" behind each estimate
constexpr Micros kLatencyMemory =
    4'000'000;  // us; health evidence fades so, which readmits by trickle
constexpr Micros kReportMemory = 1'000'000;  // us; a load report says little after this
constexpr double kAgeDoubt =
    3;  // an attempt older than this many mean answers speaks against its server
constexpr double kLeastInFlight =
    2;                         // attempts a server, by all gateways: at a start and at the least
constexpr double kBusy = 1.6;  // mean answer over the idle one, above which servers hold too much
constexpr double kFailedRatio = 10;  // mean answers that a failed attempt counts for at the least
constexpr double kOutlier = 4;       // idle answers that one attempt counts for at the most
constexpr double kLimitCut = 0.85;   // one cut of the in-flight limit, at most once per mean answer
constexpr double kSpread = 2;        // deviations of a gateway's attempts out, above its even part
constexpr double kGrow = 0.04;   // attempts that one good answer adds to the limit while it binds
constexpr double kUneven = 1.6;  // one server's part of the in-flight limit over an even one
constexpr double kNormGain = 1.0 / 30;     // per answer; smoothing of the fleet's answer times
constexpr double kIdleGain = 1.0 / 150;    // per answer; slower, so that its least is no lucky run
constexpr double kBaseGain = 1.0 / 40000;  // per answer; how fast the idle answer time may rise
constexpr double kBadFails = 0.6;          // of its attempts fail at a bad server, about
constexpr double kFailsLeast = 0.04;       // of any server's, by chance
constexpr double kFailingGain = 1.0 / 40;  // per answer; smoothing of that
constexpr double kEjectOdds = 4;           // log; two failures where they are rare
constexpr double kMaxEjected =
    0.34;  // of the fleet; past that the fault is likely ours or everyone's
constexpr double kLastResort = 1e6;          // cost of an ejected server, when too many are
constexpr Micros kEjectFor = 3'000'000;      // us; then one request at a time until an answer
constexpr Micros kUnusedFor = 64 * kPeriod;  // us; the least until an unused server is forgotten
constexpr double kColdSafety = 0.55;         // of our part of a cold server's budget

struct Endpoint {
  bool usable = false, ejected = false;
  bool on_trial = false;                              // ejected and not yet answered since
  bool counts_ejected = false, counts_trial = false;  // in the list's sums
  bool elsewhere = false;                             // in another zone
  int out = 0;                                        // our attempts there
  int open_references = 0;                            // attempts of open requests that point here
  Micros last_progress_at = 0;  // an answer: when we last had one, or sent with nothing out
  DecayingMean ratio;           // answers' times over their class's mean
  double others = 0;            // attempts of other gateways there, as last reported
  Micros report_at = 0;
  double odds = 0;  // log; that it is bad, over what one would think of any
  Micros ejected_until = 0;
  SlidingWindowSum cold_sends;  // work, while it was cold
  double carried = 0;           // work sent since the last look
  Micros used_at = 0;           // last in our part, or sent to
  std::uint64_t place = 0;      // in the order that all gateways see
  EndpointEntry entry;
};
using List = ServerList<Endpoint>;

// Fit servers that a part has.
inline double part_size(const List& list, const Settings& settings) {
  return std::max(kLeastPart, std::ceil(double(list.up()) * kSharers / settings.gateway_count));
}

// Where on the ring our part begins; true if that changed. Danger: at an exactly even index one
// server more or less shifts the parts of half of all gateways; at a fixed place the parts lie as
// unevenly as chance has it. So a place is kept while it is near its even index; small parts have
// no slack.
inline bool place_part(RankCursor& start, const List& list, const Settings& settings) {
  const double n = double(list.up());
  const double at = settings.gateway_index * kGolden;
  const double even = std::floor(n * (at - std::floor(at)));
  const double off = std::abs(start.rank() - even);
  if (n <= 0 || std::min(off, n - off) <= std::floor(kStartSlack * part_size(list, settings))) {
    return false;
  }
  start.set(list, std::size_t(even));
  return true;
}

// What a caller expects of an attempt.
struct AttemptEstimate {
  double work = 0;                // s of an endpoint's time
  double mean_response_time = 0;  // us, of its class
};

// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  bool cancelled_as_stalled = false;  // by this gateway, since its endpoint made no progress
  double relative_duration = 0;       // over what was expected of it
  double objective_fraction = 0;      // its duration over the latency objective, scaled to its size
  double mean_response_time = 0;      // us, of its class
};

class LoadBalancer {
 public:
  LoadBalancer(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
    settings_changed();
  }
  void settings_changed() {
    for (const ClassSettings& c : settings_.classes) {
      forget_after_ = std::max(forget_after_, 2 * c.deadline);
    }
    place_part(start_, list_, settings_);
    stale_ = true;
  }

  void update_endpoints(Micros now, const EndpointListUpdate& update) {
    list_.update(update, [&](const List::Change& c) {
      start_.moved(c.place, c.came);
      if (c.place - start_.place() <= part_end_ - start_.place()) {
        stale_ = true;
      }
      if (!c.used) {
        return;
      }
      c.used->used_at = now;
      if (c.restarted) {  // a new process: what was known of the old one is void
        c.used->on_trial = c.used->ejected = false;
        c.used->odds = c.used->ejected_until = 0;
        c.used->ratio = {};
      }
      recount(*c.used);
    });
    if (place_part(start_, list_, settings_) || part_size(list_, settings_) != enough_) {
      stale_ = true;
    }
  }

  // Our part of the servers, a stretch of a ring that all gateways see alike. Danger: each of a
  // hundred gateways would shake hands with every server, and meet it too seldom to learn that it
  // is sick. The stretches begin at even distances, neighbours' far apart, and go on until enough
  // of theirs is fit.
  const std::vector<Endpoint*>& subset(Micros now) {
    for (; !ejections_.empty() && ejections_.front().first <= now; ejections_.pop_front()) {
      if (Endpoint& s = *ejections_.front().second;
          s.ejected_until <= now && std::exchange(s.ejected, false)) {
        recount(s);
      }
    }
    if (!stale_ && now < warm_at_) {
      return part_;
    }
    stale_ = false;
    enough_ = part_size(list_, settings_);
    part_.clear();
    weights_ = 0;
    double fit = 0;
    bool cold = false;
    list_.use(start_.place(), [&](Endpoint& s) {
      part_.push_back(&s);
      s.used_at = now;
      s.elsewhere = s.entry.zone != settings_.zone;
      const double warm = warmup_fraction(now, s);
      cold = cold || warm < 1;
      if (!s.ejected) {
        weights_ += weight(s) * warm;
      }
      if (!s.ejected && !s.on_trial) {
        fit += warm;
      }
      return fit < enough_;
    });
    part_end_ = part_.size() < list_.up() ? part_.back()->place : start_.place() - 1;  // once round
    warm_at_ = cold ? now + kWarmEvery * Micros(part_.size()) : std::numeric_limits<Micros>::max();
    return part_;
  }

  // The least share of its full capacity that the server can have by now.
  double warmup_fraction(Micros now, const Endpoint& s) const {
    if (s.entry.started_at <= 0 || settings_.slow_start_duration <= 0) {
      return 1;
    }
    const double age = double(now - s.entry.started_at) / double(settings_.slow_start_duration);
    return std::clamp(
        settings_.slow_start_min_fraction + (1 - settings_.slow_start_min_fraction) * age,
        settings_.slow_start_min_fraction, 1.0);
  }

  // Danger: a cold server sent too much falls over for good. We stay within our own part of what it
  // can bear, taking what we send a warm peer for our part of a warm server's load.
  bool slow_start_admits(Micros now, Endpoint& s, double work) {
    const double warm = warmup_fraction(now, s);
    if (warm >= 1) {
      return true;
    }
    // Where our part is less than one request, requests are so much further apart.
    const double window = double(settings_.slow_start_overload_window);
    const double sharers = settings_.gateway_count * processes_ * double(part_.size()) /
                           double(std::max<std::size_t>(1, list_.up()));
    const double budget = kColdSafety * settings_.slow_start_overload_factor * warm * peer_rate_ *
                          weight(s) * window / kSecond / processes_;
    const double span = window * std::clamp(work / std::max(budget, 1e-9), 1.0, sharers);
    const double spent = s.cold_sends.sum_within(now, span);
    return s.cold_sends.empty() || spent + work <= budget;
  }

  double weight(const Endpoint& s) const { return s.entry.weight > 0 ? s.entry.weight : 1; }

  // How slow a server is against its peers, by its answers and by what it still owes.
  double slowness(Micros now, const Endpoint& s, double mean) const {
    const double r = s.ratio.mean(now, kLatencyMemory, kPriorSamples);
    if (s.out == 0 || mean <= 0) {
      return r;
    }
    return std::max(r, double(now - s.last_progress_at) / (kAgeDoubt * mean));
  }

  // The server where an attempt should end soonest, or none with room; `mean` is an answer's time.
  template <typename Filter>
  Endpoint* pick(Micros now, const AttemptEstimate& attempt, Filter allowed) {
    const double work = attempt.work;
    const double mean = attempt.mean_response_time;
    subset(now);
    if (!has_room(now)) {
      return nullptr;
    }
    // Danger: gateways that see little of what servers hold all pick the one that looks best, and
    // the slower ones lie idle. A few are drawn by speed, the fewer the less of the load is our
    // own; the best of those.
    draws_.clear();
    const double most =
        kUneven * in_flight_limit() / weights_;  // attempts out at one server, by its speed
    const std::size_t n = part_.size();
    const std::size_t from = n > kWindow ? std::size_t(uniform(random_) * double(n)) : 0;
    for (std::size_t i = 0; i < n && (i < kWindow || draws_.empty()); ++i) {
      if (Endpoint& s = *part_[from + i < n ? from + i : from + i - n]; allowed(s)) {
        draw(now, s, work, mean, most);
      }
    }
    return draws_.best_of(std::size_t(kDraws + listed() / settings_.gateway_count));
  }

  void set_process_count(int processes) { processes_ = processes; }

  int unavailable_endpoints() const { return list_.draining() + on_trial_; }
  std::size_t tracked_endpoints() const { return list_.used(); }

  // May any that we use be sent to, now or when it has room?
  template <typename Filter>
  bool any_available(Micros now, Filter allowed) {
    const std::vector<Endpoint*>& ours = subset(now);
    return std::any_of(ours.begin(), ours.end(),
                       [&](const Endpoint* s) { return !s->ejected && allowed(*s); });
  }

  void on_attempt_sent(Micros now, Endpoint& s, double work) {
    s.used_at = now;
    ++s.open_references;
    s.carried += work;
    if (warmup_fraction(now, s) < 1) {
      s.cold_sends.add(now, work);
    }
  }

  // So many attempts more are with a server, from the last byte of their requests to their end.
  void add_in_flight(Micros now, Endpoint& s, int attempts) {
    settle(now);
    s.out += attempts;
    out_ += attempts;
    if (s.out == attempts) {
      s.last_progress_at = now;
    }
  }

  // `ratio`: its time over its class's mean. Danger: a sick server that answers errors at once
  // looks fast.
  bool on_attempt_complete(Micros now, Endpoint& s, const AttemptResult& result,
                           const LoadReport& load) {
    const Outcome o = result.outcome;
    const bool blame = result.cancelled_as_stalled;
    const double ratio = result.relative_duration;
    const double over_aim = result.objective_fraction;
    const double mean = result.mean_response_time;
    const bool answered = o == Outcome::kOk || o == Outcome::kError;
    const bool timed = o == Outcome::kOk || o == Outcome::kTimeout || blame;
    const bool failed = blame || (o != Outcome::kOk && o != Outcome::kOverloaded &&
                                  o != Outcome::kNotSent && o != Outcome::kCancelled);
    if (timed || failed) {
      s.ratio.add(now, kLatencyMemory, failed ? std::max(ratio, kFailedRatio) : ratio);
    }
    if (load.in_flight >= 0 || load.queued >= 0) {
      s.others = load.in_flight >= 0 ? std::max(0.0, load.in_flight - s.out - 1) : load.queued;
      s.report_at = now;
    }
    if (answered) {
      s.last_progress_at = now;
    }
    if (o == Outcome::kOk) {
      failing_ -= kFailingGain * failing_;
      s.odds = std::max(0.0, s.odds - std::log((1 - failing_) / (1 - kBadFails)));
      if (std::exchange(s.on_trial, false)) {
        recount(s);
      }
    }
    adapt(now, o, timed, over_aim, mean);
    ends_.add(o, blame);
    return failed && fails(now, s);
  }
  bool on_response_aborted(Micros now, const std::string& server) {
    Endpoint* s = list_.find(server);
    return s && fails(now, *s);
  }

  // Once a period: what a warm peer of weight one was sent a second. Danger: open requests may name
  // old ones, and a cold one that comes back into our part has borne what it was sent.
  void on_period(Micros now) {
    double work = 0;
    double weights = 0;
    for (Endpoint* s : subset(now)) {
      s->used_at = now;
      if (warmup_fraction(now, *s) < 1 || s->ejected) {
        continue;
      }
      work += s->carried;
      weights += weight(*s);
    }
    if (weights > 0) {
      peer_rate_ += 0.3 * (work / weights / (kPeriod / kSecond) - peer_rate_);
    }
    list_.forget_if([&](Endpoint& s) {
      s.carried = 0;
      return s.open_references == 0 && now - s.used_at > forget_after_ &&
             (s.cold_sends.empty() || warmup_fraction(now, s) >= 1);
    });
  }

  // For the log: attempts out and allowed, answer times now and when idle over their aims, and
  // ends.
  std::string describe_state(Micros now) {
    subset(now);
    return join("out ", out_, " of ", in_flight_limit(), ", answers ", norm_, " idle ", base_,
                ", ejected ", ejected_, " of ", list_.size(), ", ",
                std::exchange(ends_, {}).text());
  }

  double in_flight_limit() const {
    return std::max(limit_, kLeastInFlight * std::max(listed(), 1) / settings_.gateway_count);
  }

  double utilization(Micros now) {
    settle(now);
    return 0.5 - 0.5 * room_ / in_flight_limit();
  }

 private:
  int listed() const { return int(list_.up()) - ejected_; }

  // After any change of what a server is held for: the sums are kept, and our part is looked at
  // anew.
  void recount(Endpoint& s) {
    const bool ejected = s.usable && s.ejected;
    const bool trial = s.usable && s.on_trial;
    ejected_ += int(ejected) - int(std::exchange(s.counts_ejected, ejected));
    on_trial_ += int(trial) - int(std::exchange(s.counts_trial, trial));
    stale_ = true;
  }

  void draw(Micros now, Endpoint& s, double work, double mean, double most) {
    // Danger: a whole zone gone may be more than may be ejected; its servers then come last, not in
    // turn.
    const bool last_resort = ejected_ > kMaxEjected * double(list_.up());
    if ((s.ejected && !last_resort) || (s.on_trial && s.out > 0)) {
      return;
    }
    const double root = std::sqrt(warmup_fraction(now, s));
    const double speed = weight(s) * root / slowness(now, s, mean);
    if (s.out > 0 && s.out >= std::round(most * speed)) {
      return;
    }
    if (!slow_start_admits(now, s, work)) {
      return;
    }
    const double others =
        s.others > 0 ? s.others * decay_factor(now - s.report_at, kReportMemory) : 0;
    // Danger: drawn by their warmth and compared by it too, cold servers lay idle beside full ones.
    double cost = (s.out + others + 1) / speed * root;
    if (s.elsewhere) {
      cost *= kZoneBias;
    }
    const double last = s.ejected ? kLastResort : 1;
    draws_.add(-std::log(1 - uniform(random_)) / speed * last, cost * last, &s);
  }

  // Danger: who meets a server seldom waits long for failures in a row. Each counts by how rare
  // failures are; where all servers fail, it says next to nothing of one.
  bool fails(Micros now, Endpoint& s) {
    failing_ = std::min(kBadFails, failing_ + kFailingGain * (1 - failing_));
    s.odds += std::log(kBadFails / std::max(kFailsLeast, failing_));
    if ((s.odds < kEjectOdds && !s.on_trial) || s.ejected_until > now) {
      return false;
    }
    ends_.add_ejection();
    s.used_at = now;  // danger: its end must find it
    s.ejected_until = now + kEjectFor;
    s.ejected = s.on_trial = true;
    recount(s);
    ejections_.emplace_back(s.ejected_until, &s);
    return true;
  }

  // Danger: with more gateways than servers an even part is less than one. More go out when demand
  // by chance asks for it, paid for out of the room left in the last second. Danger: paid by a
  // stop, the dear requests that wait run out of time, and the next room goes to whoever is there.
  // An even part may always be out.
  bool has_room(Micros now) {
    settle(now);
    return out_ + 1 <= in_flight_limit() ||
           (room_ > 0 && out_ < 1 + in_flight_limit() + kSpread * std::sqrt(in_flight_limit()));
  }
  void settle(Micros now) {
    room_ = std::clamp(room_ + (in_flight_limit() - out_) * double(now - room_at_) / kSecond,
                       -in_flight_limit(), in_flight_limit());
    room_at_ = now;
  }

  // Danger: servers that hold too much lose speed, and the jam feeds itself. What all our attempts
  // take, against what they took when servers were idle, bounds how many may be out.
  void adapt(Micros now, Outcome o, bool timed, double over_aim, double mean) {
    if (timed) {
      // Danger: a few attempts lost or far heavier than the rest are no sign of a full fleet.
      if (base_ > 0) {
        over_aim = std::min(over_aim, kOutlier * base_);
      }
      norm_ += (norm_ > 0 ? kNormGain : 1.0) * (over_aim - norm_);
      slow_norm_ += std::max(kIdleGain, 1.0 / ++answers_) * (over_aim - slow_norm_);
      if (answers_ > 1 / kNormGain) {
        base_ = base_ <= 0 ? slow_norm_
                           : std::min(slow_norm_, base_ + kBaseGain * (slow_norm_ - base_));
      }
    }
    if (o == Outcome::kOverloaded) {
      return;  // danger: one server, or one plan there, is not the fleet
    }
    if (base_ <= 0 || norm_ <= kBusy * base_) {
      if (timed && room_ < 0.5 * in_flight_limit()) {
        limit_ = in_flight_limit() + kGrow;
      }
    } else if (double(now - cut_at_) > mean) {
      limit_ = in_flight_limit() * kLimitCut;
      cut_at_ = now;
    }
  }

  const Settings& settings_;
  std::uint64_t random_;
  List list_;
  RankCursor start_;
  std::vector<Endpoint*> part_;
  std::uint64_t part_end_ = 0;  // place of its last one
  bool stale_ = true;
  double enough_ = 0;               // fit servers that `part_` was made with
  double weights_ = 0;              // of those there that are not ejected, by their warmth
  Micros warm_at_ = 0;              // when it is looked at anew because cold ones warm up
  int ejected_ = 0, on_trial_ = 0;  // of the listed ones
  std::deque<std::pair<Micros, Endpoint*>> ejections_;  // by their end
  WeightedSample<Endpoint> draws_;
  double limit_ = 0, norm_ = 0, slow_norm_ = 0, base_ = 0, peer_rate_ = 0;
  double failing_ = kFailsLeast;  // part of all our attempts that fail; fading mean
  int answers_ = 0, out_ = 0, processes_ = 1;
  OutcomeCounts ends_;
  double room_ = 1;  // attempt-seconds
  Micros room_at_ = 0, cut_at_ = 0, forget_after_ = kUnusedFor;
};

}  // namespace quota_gateway::policy
