// Every decision of quota_gateway, in the plain types of include/quota_gateway/gateway.hpp:
// attempts and overload here, the rest in policy/.
#include "quota_gateway/gateway.hpp"

#include <memory>
#include <optional>

#include "policy/endpoints/load_balancer.hpp"
#include "policy/quota/demand_estimator.hpp"
#include "policy/quota/quota_allocator.hpp"
#include "policy/quota/quota_capacity.hpp"
#include "policy/quota/rate_ceiling.hpp"
#include "policy/quota/shared_pool.hpp"
#include "policy/rejection_stats.hpp"

namespace quota_gateway {
namespace {

using namespace policy;

constexpr double kMeanGain = 0.02;  // per answer; smoothing of a class's answer time
constexpr double kMeanPrior = 4;  // answers that a sixth of the aim counts for, as the first guess
constexpr double kRetryShare = 0.1;  // retries and second copies per first attempt
constexpr double kRetryBurst = 10;   // attempts
constexpr double kDoubtAfter = 7;    // mean answers until an attempt is looked at again
constexpr double kAtOnce = 0.25;  // of an expected answer time: too short for the work to be done
constexpr Micros kDoubtLeast =
    50'000;  // us; fast servers pause for longer than a few of their answers
constexpr double kHoldShare = 0.25;  // of the aim that a request may wait here for a server
constexpr double kNeed =
    1.5;  // expected answer times that must be left when a held request goes out
constexpr double kRelaxed = 0.25;  // of the room taken: below it there is room for excess
constexpr double kReserveAheadSeconds =
    0.5;  // of the customer's demand, in one reservation of the ceiling's pool
constexpr Micros kLogEvery = 5'000'000;  // us between log lines of one kind

struct Attempt {
  Endpoint* server = nullptr;
  Micros sent = 0;
  bool out = true, may_have_run = true;
  bool with_server = true;  // all of it; a long body that comes slowly takes no room there
  bool blamed = false;      // cancelled by us because its server had stalled
};

// A class as it was when its requests came, and what its answers tell.
struct Class : ClassSettings {
  double mean = 0, usual_units = 0;  // us, its answer time; units of a request, a mean
  int answers = 0;                   // that the first is the mean of
};

struct Request {
  std::string id;
  std::shared_ptr<Class> cls;
  int most_attempts = 1, out = 0;
  CustomerState* customer = nullptr;
  double units = 1,
         quota_units = 1;  // the latter of the quota: units, or attempt-seconds under an open cap
  double expected = 0, value = 1;  // us, its answer time; worth a unit of that work: who goes first
  Micros arrived = 0, hold_until = 0, give_up = 0;  // no answer after the last earns anything
  bool over = false;                                // beyond the quota as far as we know
  bool body_pending = false, done = false, held = false;
  std::optional<BudgetSource> charged_to;  // its units; none: they are not charged
  bool waits = false, tried = false;       // for the counter; to draw on the quota
  std::vector<Attempt> attempts;
};

}  // namespace

class Gateway::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        seed_(seed),
        slices_(settings_, mix(seed)),
        ceilings_(settings_),
        pools_(slices_.counter_limiter()),
        servers_(settings_, mix(seed + 1)) {
    settings_changed();
  }

  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& out) {
    now_ = now;
    out_ = &out;
    if (next_look_ == 0) {  // gateways look at times of their own
      next_look_ = now + 1 + Micros(mix(seed_) % std::uint64_t(kPeriod));
      emit(SetTimer{next_look_, kLook});
    }
    for (const Event& e : events) {
      std::visit([this](const auto& x) { on(x); }, e);
    }
    drain_held();
  }
  int unavailable_endpoints() const { return servers_.unavailable_endpoints(); }

 private:
  void emit(Action action) { out_->push_back(std::move(action)); }
  void arm(const Request& r, int what, Micros at) {
    timers_[++timer_] = {r.id, what};
    emit(SetTimer{at, timer_});
  }
  Request* find(const std::string& id) {
    const auto it = requests_.find(id);
    return it != requests_.end() ? &it->second : nullptr;
  }

  void log(const std::string& kind, const std::string& text) {
    auto [it, fresh] = logged_.try_emplace(kind, now_);
    if (!fresh && now_ - it->second < kLogEvery) {
      return;
    }
    it->second = now_;
    emit(LogLine{std::string(kind).append(": ").append(text)});
  }

  void on(const EndpointListUpdate& e) { servers_.update_endpoints(now_, e); }
  void on(const StreamStarted& e) {
    if (Request* r = find(e.id)) {
      r->done = true;  // the attempt is the client's now
    }
  }
  void on(const AttemptWritten& e) {
    Request* r = find(e.id);
    if (!r) {
      return;
    }
    Attempt& a = r->attempts.at(std::size_t(e.attempt));
    if (a.out && !std::exchange(a.with_server, true)) {
      servers_.add_in_flight(now_, *a.server, 1);
    }
  }
  void on(const HealthCheckCompleted&) {}
  void on(const ResponseAborted& e) {
    if (servers_.on_response_aborted(now_, e.server)) {
      log("server", e.server + " ejected: it fails");
    }
  }
  void on(const PeerProcessesChanged& e) {
    fill_ceilings();
    slices_.set_process_count(now_, 1 + e.peer_count);
    servers_.set_process_count(1 + e.peer_count);
  }
  void on(const SettingsChanged& e) {
    fill_ceilings();
    settings_ = e.settings;
    settings_changed();
    slices_.on_settings_changed(now_);
    servers_.settings_changed();
  }
  void fill_ceilings() { slices_.refill_ceilings(now_, ceilings_); }
  // Customers and open requests hold plans and classes: plans change in place, a changed class is
  // another.
  void settings_changed() {
    settings_.gateway_count = std::max(1, settings_.gateway_count);
    for (const PlanSettings& p : settings_.plans) {
      plans_[p.name] = p;
    }
    const auto before = std::exchange(classes_, {});
    for (const ClassSettings& c : settings_.classes) {
      const auto was = before.find(c.name);
      const Class told = was != before.end() ? *was->second : Class{};
      classes_[c.name] =
          std::make_shared<Class>(Class{c, told.mean, told.usual_units, told.answers});
    }
  }
  void on(const CounterReply& e) {
    slices_.counter_limiter().on_reply(now_, e);
    const std::optional<PoolReply> reserved = pools_.on_reply(now_, e);
    if (reserved && reserved->is_usable && reserved->pool.kind == PoolKind::kQuota) {
      const Micros elapsed = reserved->pool.elapsed(now_, *reserved->customer);
      record_pool_total(now_, *reserved->customer, e.total,
                        std::max(elapsed, reserved->pool.window_length / 2));
    }
    CustomerState* counted = reserved ? nullptr : slices_.on_counter_reply(now_, e);
    if (reserved) {
      decide_all(reserved->customer->reservation(reserved->pool.kind).waiting);
    }
    if (counted) {
      decide_all(counted->total.waiting);
    }
    if (e.outcome != CounterOutcome::kOk) {
      log("counter", "no answer or refused; totals are held");
    }
  }

  void decide_all(std::vector<std::string>& waiting) {
    for (const std::string& id : std::exchange(waiting, {})) {
      if (Request* r = find(id); r && r->waits) {
        decide(*r);
      }
    }
  }

  void on(const ClientDisconnected& e) {
    if (Request* r = find(e.id)) {
      close(*r);
    }
  }

  void on(const TimerFired& e) {
    if (e.token == kLook) {
      return look();
    }
    const auto timer = timers_.extract(e.token);
    if (timer.empty()) {
      return;
    }
    const auto [id, attempt] = timer.mapped();
    Request* r = find(id);
    if (!r || r->done) {
      return;
    }
    if (attempt >= 0) {
      doubt(*r, attempt);
    }
    if (attempt == kDecide && r->waits) {
      decide(*r);
    }
  }

  void look() {
    servers_.on_period(now_);
    slices_.on_period(now_, *out_);
    tell_why();
    next_look_ = std::max(next_look_ + kPeriod, now_);  // a late batch skips looks
    emit(SetTimer{next_look_, kLook});
  }

  // Why requests were refused, for who reads the log of a bad day.
  void tell_why() {
    if (now_ - told_at_ < kLogEvery) {
      return;
    }
    told_at_ = now_;
    const RejectionCounts r = std::exchange(refusals_, {});
    if (r.any()) {
      log("refused", join(r.text(), format_quota_stats(slices_.take_stats(now_)), "; ",
                          servers_.describe_state(now_)));
    }
  }

  void on(const RequestArrived& e) {
    ++refusals_.asked;
    const auto known = classes_.find(e.request_class);
    const std::shared_ptr<Class> cls = known != classes_.end() ? known->second : unknown_class_;
    const PlanSettings* plan = &plans_[e.plan];  // one that nobody knows has no quota
    CustomerState& c = slices_.customer(now_, e, *plan);
    cls->usual_units += (cls->usual_units > 0 ? kMeanGain : 1.0) * (e.units - cls->usual_units);
    const double quota_units = plan->quota_rate > 0 ? e.units : expected(*cls, e.units) / kSecond;
    record_demand(now_, c, quota_units);
    Request& r = requests_[e.id];
    r.id = e.id;
    r.cls = cls;
    r.most_attempts = settings_.max_attempts;
    r.body_pending = e.body_pending;
    r.customer = &c;
    r.units = e.units;
    r.quota_units = quota_units;
    r.expected = expected(*cls, e.units);
    r.value = cls->priority_weight * plan->value_factor * e.units / r.expected;
    r.arrived = now_;
    r.give_up = cls->late_value_fraction > 0 ? e.deadline
                                             : std::min(e.deadline, now_ + cls->latency_objective);
    // Danger: gateways that meet a customer seldom would never know a total in time. The first one
    // waits. A draw comes first. Danger: with the total read no call was left to draw on the
    // ceiling.
    if (ceilings_.admits(now_, c, r.units) && slices_.report_demand(now_, c, *out_) &&
        may_wait(r)) {
      wait(r, c.total.waiting);
    } else {
      decide(r);
    }
  }

  // For the counter: a call's time-out at most, all calls of a request together.
  bool may_wait(const Request& r) const {
    return now_ - r.arrived < settings_.counter_timeout &&
           r.give_up - now_ > settings_.counter_timeout + 2 * settings_.clock_tick;
  }
  void wait(Request& r, std::vector<std::string>& line) {
    r.waits = true;
    line.push_back(r.id);
    arm(r, kDecide, r.arrived + settings_.counter_timeout + settings_.clock_tick);
  }

  // Within the slice or not? Refused at once if not.
  void decide(Request& r) {
    r.waits = false;
    CustomerState& c = *r.customer;
    const PlanSettings& plan = *c.plan;
    advance_estimates(now_, c);
    // A plan that earns more beyond its quota than it costs is let through while servers have room.
    const bool excess =
        plan.over_quota_value > plan.over_quota_cost && servers_.utilization(now_) < kRelaxed;
    bool within = slices_.covers(c, r.quota_units);
    std::optional<BudgetSource> from;
    if (is_sparse(settings_, c)) {
      const auto pool = quota_pool(plan);
      const bool first = !std::exchange(r.tried, true) && !excess;
      if (pool.reserved(now_, c) >= r.units) {
        from = BudgetSource::kPoolReservation;
      }
      const bool shut = !from && (pool.exhausted(now_, c) || (first && !slices_.should_reserve(c)));
      if (!from && !shut && first && may_wait(r) &&
          pools_.reserve(now_, c, pool, r.units, 0, *out_)) {
        return wait(r, c.quota_reservation.waiting);
      }
      within = from || (!shut && slices_.covers_without_reservation(c, r.units));
    }
    within = within && (plan.max_concurrent_attempts <= 0 ||
                        c.attempts_in_progress < plan.max_concurrent_attempts);
    const bool under_ceiling = ceilings_.admits(now_, c, r.units);
    if ((within || excess) && !under_ceiling && may_wait(r) && settings_.has_counter) {
      const double ahead =
          std::max(r.units, std::min(c.demand.own, c.quota_rate) * kReserveAheadSeconds);
      if (pools_.reserve(now_, c, ceiling_pool(plan), ahead, 1, *out_)) {
        return wait(r, c.ceiling_reservation.waiting);
      }
    }
    if (!under_ceiling || (!within && !excess)) {
      if (within) {
        ++refusals_.sliced;
      }
      ++(under_ceiling ? refusals_.slice : refusals_.ceiling);
      if (under_ceiling && !c.total.trusted_at) {
        ++refusals_.blind;
      }
      if (under_ceiling && c.total.trusted_at && c.demand.own + c.demand.others < c.quota_rate) {
        ++refusals_.within;
      }
      // Danger: with units left in the slice the advice would be to come at once, and be refused at
      // once.
      const Micros room = under_ceiling ? 0 : ceilings_.time_until_available(now_, c, r.units);
      emit(Reject{r.id, slices_.retry_after(c, r.quota_units, r.cls->latency_objective, room)});
      return close(r);
    }
    r.over = !within;
    if (within) {
      if (from) {
        slices_.charge_to(*from, c, r.quota_units);
      } else {
        from = slices_.charge(c, r.quota_units);
      }
      r.charged_to = from;
    }
    // Danger: room grows with time, and who comes first after that would take it from dearer ones
    // that wait.
    const bool in_line = within && !held_.empty();
    if (!in_line && send(r)) {
      return;
    }
    if (within) {
      return hold(r);
    }
    end(r);
    forget(r);
  }

  static double mean_of(const Class& cls) {
    return cls.mean > 0 ? cls.mean : double(cls.latency_objective) / 6;
  }
  // Units tell a request's size where they vary within a class.
  static double expected(const Class& cls, double units) {
    return mean_of(cls) * (cls.usual_units > 0 && units > 0 ? units / cls.usual_units : 1.0);
  }
  int most_attempts(const Request& r) const {
    return std::min(r.most_attempts, settings_.max_attempts);
  }

  // Rule 2: where may this request still go?
  bool may_go(const Request& r, const Endpoint& s) const {
    for (const Attempt& a : r.attempts) {
      if (a.server == &s) {
        return false;  // what failed there once may again
      }
      if (!a.may_have_run || r.cls->idempotency == Idempotency::kIdempotent) {
        continue;
      }
      if (r.cls->idempotency == Idempotency::kNonIdempotent) {
        return false;
      }
      const bool same =
          r.cls->dedup_scope == DedupScope::kAll ||
          (r.cls->dedup_scope == DedupScope::kZone && s.entry.zone == a.server->entry.zone) ||
          (r.cls->dedup_scope == DedupScope::kCell && s.entry.cell == a.server->entry.cell);
      if (!same || now_ - a.sent >= r.cls->dedup_window - 2 * settings_.clock_tick) {
        return false;
      }
    }
    return true;
  }
  bool may_refuse(const Request& r) const {
    if (r.cls->idempotency == Idempotency::kIdempotent) {
      return true;
    }
    if (r.cls->idempotency == Idempotency::kIdempotencyKey &&
        r.cls->dedup_scope == DedupScope::kAll) {
      return true;
    }
    return std::none_of(r.attempts.begin(), r.attempts.end(),
                        [](const Attempt& a) { return a.may_have_run; });
  }

  bool send(Request& r) {
    if (int(r.attempts.size()) >= most_attempts(r) || r.give_up - now_ <= settings_.clock_tick) {
      return false;
    }
    const bool again = !r.attempts.empty();
    const double work = r.expected / kSecond;
    Endpoint* s = servers_.pick(now_, {work, mean_of(*r.cls)},
                                [&](const Endpoint& to) { return may_go(r, to); });
    if (!s) {
      return false;
    }
    if (!again) {
      if (!ceilings_.try_acquire(now_, *r.customer, r.units)) {
        return false;
      }
      retries_ = std::min(kRetryBurst, retries_ + kRetryShare);
    }
    servers_.on_attempt_sent(now_, *s, work);
    r.attempts.push_back({s, now_});
    r.attempts.back().with_server = !r.body_pending;
    if (!r.body_pending) {
      servers_.add_in_flight(now_, *s, 1);
    }
    ++r.out;
    ++r.customer->attempts_in_progress;
    emit(SendAttempt{r.id, s->entry.server, r.give_up - now_});
    watch(r, int(r.attempts.size()) - 1, Micros(kDoubtAfter * r.expected));
    return true;
  }

  void watch(const Request& r, int attempt, Micros after) {
    after = std::max(after, kDoubtLeast);
    if (now_ + after >= r.give_up) {
      return;
    }
    arm(r, attempt, now_ + after);
  }

  // An attempt takes long. Taken back only when its server has answered nothing since: stalled, not
  // heavy.
  void doubt(Request& r, int index) {
    Attempt& a = r.attempts[std::size_t(index)];
    if (!a.out || a.blamed) {
      return;
    }
    const bool repeatable = r.cls->idempotency == Idempotency::kIdempotent ||
                            r.cls->idempotency == Idempotency::kIdempotencyKey;
    if (repeatable && retries_ >= 1 && settings_.cancellation_allowed &&
        a.server->last_progress_at <= a.sent) {
      retries_ -= 1;
      a.blamed = true;
      emit(CancelAttempt{r.id, index});
      return;
    }
    watch(r, index, Micros(kDoubtAfter * r.expected));
  }

  void on(const AttemptCompleted& e) {
    Request* found = find(e.id);
    if (!found || e.attempt < 0 || e.attempt >= int(found->attempts.size())) {
      return;
    }
    Request& r = *found;
    Attempt& a = r.attempts[std::size_t(e.attempt)];
    if (!std::exchange(a.out, false)) {
      return;
    }
    --r.out;
    --r.customer->attempts_in_progress;
    using O = Outcome;
    a.may_have_run = !(e.outcome == O::kOverloaded || e.outcome == O::kConnectFailed ||
                       e.outcome == O::kNotSent);
    if (e.outcome == O::kOk) {
      const double gain = std::max(kMeanGain, 1 / (kMeanPrior + ++r.cls->answers));
      r.cls->mean = mean_of(*r.cls) + gain * (double(e.duration) - mean_of(*r.cls));
    }
    const double mean = mean_of(*r.cls);
    // Danger: a gateway that stood still finds answers old; what they say they took counts, not the
    // clock.
    const double over_aim = double(e.duration) /
                            double(std::max<Micros>(1, r.cls->latency_objective)) * mean /
                            r.expected;
    if (a.with_server) {
      servers_.add_in_flight(now_, *a.server, -1);
    }
    const AttemptResult result{.outcome = e.outcome,
                               .cancelled_as_stalled = a.blamed,
                               .relative_duration = double(e.duration) / r.expected,
                               .objective_fraction = over_aim,
                               .mean_response_time = mean};
    if (servers_.on_attempt_complete(now_, *a.server, result, e.load)) {
      log("server", a.server->entry.server + " ejected: it fails");
    }
    if (settings_.units_settled_later && e.billed_units > 0 && !r.over) {
      slices_.charge(*r.customer, e.billed_units - r.units);
    }
    if (e.request_answered) {
      finish(r);
    }
    if (!r.done && r.out == 0) {
      // A connection that was reset at once cost its server next to nothing.
      const bool cheap = !a.may_have_run || a.blamed ||
                         (e.outcome == O::kReset && double(e.duration) < kAtOnce * r.expected);
      const bool again = (cheap || retries_ >= 1) && int(r.attempts.size()) < most_attempts(r);
      if (again && !cheap) {
        retries_ -= 1;
      }
      // Danger: a keyed request that may have run has few servers to go to, which are soon all
      // taken.
      if (again && !send(r) &&
          servers_.any_available(now_, [&](const Endpoint& to) { return may_go(r, to); })) {
        hold(r);
      } else if (r.out == 0) {
        end(r);
      }
    }
    forget(r);
  }

  // The one final answer of a request that no server will answer.
  void end(Request& r) {
    if (r.done) {
      return;
    }
    if (may_refuse(r)) {
      ++refusals_.servers;
      emit(Reject{r.id, Micros(mean_of(*r.cls))});
    } else {
      emit(Fail{r.id});
    }
    finish(r);
  }

  void finish(Request& r) {
    r.done = true;
    // What was never sent on took nothing. Danger: units of all that waits in vain would be gone.
    const auto from = std::exchange(r.charged_to, std::nullopt);
    if (from && r.attempts.empty()) {
      slices_.refund(*from, *r.customer, r.quota_units);
    }
    if (!settings_.cancellation_allowed) {
      return;
    }
    for (std::size_t i = 0; i < r.attempts.size(); ++i) {
      if (r.attempts[i].out && !r.cls->streamed) {
        emit(CancelAttempt{r.id, int(i)});
      }
    }
  }

  void close(Request& r) {
    finish(r);
    forget(r);
  }
  void forget(const Request& r) {
    if (!r.done || r.out > 0 || r.held) {
      return;
    }
    for (const Attempt& a : r.attempts) {
      --a.server->open_references;
    }
    requests_.erase(requests_.find(r.id));
  }

  // A request inside its quota that finds the servers full waits here for a part of its aim, dear
  // ones first.
  void hold(Request& r) {
    r.held = true;
    const auto dearer = [&](double value, const std::string& id) {
      return value > requests_.at(id).value;
    };
    held_.insert(std::upper_bound(held_.begin(), held_.end(), r.value, dearer), r.id);
    log("full", "servers are full; requests wait or are refused");
    const Micros since = r.attempts.empty() ? r.arrived : now_;
    r.hold_until = std::min(r.give_up - std::max(settings_.clock_tick, Micros(kNeed * r.expected)),
                            since + Micros(kHoldShare * double(r.cls->latency_objective)));
    arm(r, kWake, r.hold_until);
  }

  void drain_held() {
    if (held_.empty()) {
      return;
    }
    std::vector<std::string> keep;
    double ahead = 0;  // us of answers that dearer ones will take
    for (const std::string& id : held_) {
      Request& r = requests_.at(id);
      r.held = false;
      if (!r.done && !send(r)) {
        // Danger: who stands behind more than will go out in its time would wait in vain: told so
        // at once.
        if (double(now_) + ahead / servers_.in_flight_limit() < double(r.hold_until)) {
          ahead += r.expected;
          r.held = true;
          keep.push_back(id);
          continue;
        }
        end(r);
      }
      forget(r);
    }
    held_.swap(keep);
  }

  static constexpr std::int64_t kLook = 0;
  static constexpr int kWake = -1, kDecide = -2;  // in place of an attempt's number, in timers
  Settings settings_;
  const std::shared_ptr<Class> unknown_class_ = std::make_shared<Class>();
  std::map<std::string, std::shared_ptr<Class>> classes_;
  std::map<std::string, PlanSettings> plans_;  // never taken out; customers hold them
  const std::uint64_t seed_;
  QuotaAllocator slices_;
  RateCeiling ceilings_;
  PoolLedger pools_;
  LoadBalancer servers_;
  std::unordered_map<std::string, Request> requests_;  // looked up by id, never walked
  std::unordered_map<std::int64_t, std::pair<std::string, int>> timers_;
  std::map<std::string, Micros> logged_;
  std::vector<std::string> held_;  // dear ones first
  RejectionCounts refusals_;       // since last told
  Micros now_ = 0, next_look_ = 0, told_at_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::int64_t timer_ = 1;
  double retries_ = kRetryBurst;
};

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;

void Gateway::handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->handle(now, events, actions);
}
int Gateway::unavailable_endpoints() const {
  return impl_->unavailable_endpoints();
}

}  // namespace quota_gateway
