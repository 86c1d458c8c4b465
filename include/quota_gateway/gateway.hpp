// quota_gateway: the interface of the decision module. Plain types only; every decision is in
// src/brain.cpp and src/policy/.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quota_gateway {

using Micros = std::int64_t;  // microseconds; instants count from one clock that all gateways share

// May a request run twice? kIdempotencyKey: only on servers that share memory of its key (see
// DedupScope).
enum class Idempotency { kIdempotent, kIdempotencyKey, kNonIdempotent };
enum class DedupScope { kAll, kZone, kCell };

// One class of requests.
struct ClassSettings {
  std::string name;
  Micros latency_objective = 1'000'000;  // an answer within this earns full worth
  Micros deadline = 4'000'000;           // the client's whole patience, over all its tries
  double priority_weight = 1;
  double late_value_fraction = 0;  // part of the worth earned after the aim but before the deadline
  Idempotency idempotency = Idempotency::kNonIdempotent;
  DedupScope dedup_scope = DedupScope::kCell;
  Micros dedup_window = 0;  // how long duplicates of a keyed request are recognised
  bool streamed = false;
};

// One plan. Quotas hold for each of its customers over all gateways together; 0 means no such
// quota.
struct PlanSettings {
  std::string name;
  double quota_rate = 0;  // units a second
  double quota_burst = 0;
  int max_concurrent_attempts = 0;  // attempts out at once
  double ceiling_rate = 0;          // hard limit on units sent on, inside the quota or not
  double ceiling_burst = 0;
  double ceiling_slack = 0;
  double value_factor = 1;
  double over_quota_value = 0;  // part of its worth that a request sent on beyond the quota earns
  double over_quota_cost = 1;   // part of its worth that it costs
};

// What a gateway is told at its start.
struct Settings {
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
  int gateway_count = 1;  // how many there are
  int gateway_index = 0;  // which of them this is
  Micros clock_tick = 1'000;
  bool has_counter = false;
  Micros counter_timeout = 50'000;
  Micros meter_period = 0;  // 0: no meter
  double max_request_units = 1;
  bool units_settled_later = false;  // units are a guess until the first good answer
  int max_attempts = 1;
  bool health_checks_allowed = false;
  bool cancellation_allowed = false;
  bool retry_after_allowed = false;  // clients are told a retry-after
  Micros max_retry_after = 0;
  Micros response_grace = 0;
  Micros drain_grace = 0;
  double slow_start_min_fraction = 1;  // a fresh server's part of its full capacity, at the least
  Micros slow_start_duration = 0;      // warm by then, at the latest
  double slow_start_overload_factor = 1;
  Micros slow_start_overload_window =
      0;  // more than slow_start_overload_factor x present capacity for this long breaks it
};

enum class EndpointState { kUp, kDraining, kRemoved };
struct EndpointEntry {
  std::string server;
  std::string zone;
  std::string kind;
  std::int64_t cell = 0;
  EndpointState state = EndpointState::kUp;
  double weight = 1;
  Micros started_at = 0;  // 0: long ago
};

// What a server said of itself; below 0: not said.
struct LoadReport {
  double in_flight = -1;
  double queued = -1;
  double cpu = -1;
  double service_ms = -1;
  double served_per_s = -1;
  double errors_per_s = -1;
};

enum class Outcome {
  kOk,
  kError,          // may have run
  kOverloaded,     // never ran
  kTimeout,        // may have run, may be running
  kConnectFailed,  // never ran
  kReset,          // may have run
  kCancelled,      // may have run
  kNotSent         // never ran
};

// ---- Events
// -------------------------------------------------------------------------------------------
struct EndpointListUpdate {
  enum class Kind { kPartial, kComplete, kPersisted, kError } kind = Kind::kComplete;
  std::vector<EndpointEntry> entries;
};
struct RequestArrived {
  std::string id;
  std::string customer;
  std::string plan;
  std::string request_class;
  double units = 1;
  Micros deadline = 0;           // when the client gives this try up
  int gateway_subset_size = 1;   // gateways through which this customer may come
  int gateway_subset_start = 0;  // position of the first of them; the others follow, counted round
  bool is_client_retry = false;
  bool body_pending =
      false;  // it is long and still comes; AttemptWritten tells when all of it has gone
};
struct AttemptWritten {
  std::string id;
  int attempt = 0;
};
struct StreamStarted {
  std::string id;
  int attempt = 0;
  std::string server;
};
struct AttemptCompleted {
  std::string id;
  int attempt = 0;
  std::string server;
  Outcome outcome = Outcome::kOk;
  Micros duration = 0;
  bool request_answered = false;  // the client has its final answer
  int quota_usage = 0;            // 1 + percent of its quota that the customer used; 0: not said
  double billed_units = 0;        // true units, where units are settled later
  LoadReport load;
};
// An answer that had begun, and of which AttemptCompleted told that it was served, broke off at its
// server.
struct ResponseAborted {
  std::string server;
};
struct ClientDisconnected {
  std::string id;
};
struct TimerFired {
  std::int64_t token = 0;
};
struct HealthCheckCompleted {
  std::string server;
  Outcome outcome = Outcome::kOk;
  Micros duration = 0;
  LoadReport load;
};
enum class CounterOutcome { kOk, kNotAdded, kUnknown };
struct CounterReply {
  std::int64_t name = 0;
  double total = 0;
  CounterOutcome outcome = CounterOutcome::kUnknown;
  Micros duration = 0;
};
// So many other processes of this gateway serve beside this one, an old one that leaves or a new
// one.
struct PeerProcessesChanged {
  int peer_count = 0;
};
// These hold for requests that come from now on; those that are open keep the class they came with.
struct SettingsChanged {
  Settings settings;
};
using Event = std::variant<EndpointListUpdate, RequestArrived, StreamStarted, AttemptCompleted,
                           ClientDisconnected, TimerFired, HealthCheckCompleted, CounterReply,
                           PeerProcessesChanged, SettingsChanged, ResponseAborted, AttemptWritten>;

// ---- Actions
// ------------------------------------------------------------------------------------------
struct SendAttempt {
  std::string id;
  std::string server;
  Micros timeout = 0;  // 0: until the client gives up
};
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};
struct Reject {
  std::string id;
  Micros retry_after = 0;  // 0: no advice
};
struct Fail {
  std::string id;
};
struct SetTimer {
  Micros at = 0;
  std::int64_t token = 0;
};
struct SendHealthCheck {
  std::string server;
};
struct AddToCounter {
  std::int64_t name = 0;
  double amount = 0;
  Micros forget_after = 0;
};
struct LogLine {
  std::string text;
};
using Action = std::variant<SendAttempt, CancelAttempt, Reject, Fail, SetTimer, SendHealthCheck,
                            AddToCounter, LogLine>;

// One gateway. Deterministic: the same settings, seed, times and events give the same actions.
class Gateway {
 public:
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Takes what happened at `now` in order and appends what is to be done at once, in order.
  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions);

  // How many of the listed servers it avoids: those that drain, and those that failed and have not
  // answered since.
  int unavailable_endpoints() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quota_gateway
