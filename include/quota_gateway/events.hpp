// Events that the decision module processes. Plain values; Gateway::handle() takes them in batches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway {

// The state of a server as discovery reports it.
enum class EndpointState { kUp, kDraining, kRemoved };

// One server in an endpoint list.
struct EndpointEntry {
  std::string server;
  std::string zone;
  std::string hardware_generation;
  // The servers of one cell share their record of idempotency keys, see DedupScope.
  std::int64_t cell = 0;
  EndpointState state = EndpointState::kUp;
  // Relative capacity.
  double weight = 1;
  // When the server's process started; 0: too long ago to matter. Not an optional, to save memory:
  // lists hold 170,000 entries.
  Micros started_at = 0;
};

// The load that a server reported with a response. Values that the server did not report are empty.
struct LoadReport {
  std::optional<double> in_flight;
  std::optional<double> queued;
  std::optional<double> cpu;
  std::optional<double> service_ms;
  std::optional<double> served_per_s;
  std::optional<double> errors_per_s;
};

// How an attempt ended, and whether the server may have run the request.
enum class Outcome {
  kOk,
  kError,          // may have run
  kOverloaded,     // the server rejected it: never ran
  kTimeout,        // may have run, may still be running
  kConnectFailed,  // never ran
  kReset,          // may have run
  kCancelled,      // may have run
  kNotSent         // never ran
};

// Discovery sent a list of servers, or failed.
struct EndpointListUpdate {
  enum class Kind {
    kPartial,    // only the servers that changed
    kComplete,   // all servers; the list removes servers that it does not contain
    kPersisted,  // a complete list from the cache, for a start without discovery
    kError       // discovery failed; the present list stays in use
  };
  Kind kind = Kind::kComplete;
  std::vector<EndpointEntry> entries;
};

// A client's request arrived.
struct RequestArrived {
  std::string id;
  std::string customer;
  std::string plan;
  std::string request_class;
  double units = 1;
  // When the client stops waiting.
  Micros deadline = 0;
  // Number of gateways that receive this customer's requests; 0: all.
  int gateway_subset_size = 1;
  // Index of the first of these gateways. The others have the following indexes, modulo the number
  // of gateways.
  int gateway_subset_start = 0;
  bool is_client_retry = false;
  // A long body is still being read; an AttemptWritten follows when all of it has been forwarded.
  bool body_pending = false;
};

// The last byte of a request with `body_pending` has been forwarded.
struct AttemptWritten {
  std::string id;
  int attempt = 0;
};

// The streamed response of an attempt began to reach the client, so no other attempt can answer the
// request.
struct StreamStarted {
  std::string id;
  int attempt = 0;
  std::string server;
};

// An attempt ended.
struct AttemptCompleted {
  std::string id;
  // Number of the attempt within its request, from 0.
  int attempt = 0;
  std::string server;
  Outcome outcome = Outcome::kOk;
  Micros duration = 0;
  // The client has its final response.
  bool request_answered = false;
  // Percentage of the quota that the customer has used, if the server reported it.
  std::optional<int> quota_usage_percent;
  // The request's actual units, if they are known only after the response.
  std::optional<double> billed_units;
  LoadReport load;
};

// A server aborted a response whose AttemptCompleted had reported success.
struct ResponseAborted {
  std::string server;
};

// The client closed its connection or abandoned the request.
struct ClientDisconnected {
  std::string id;
};

// A timer that SetTimer requested is due.
struct TimerFired {
  std::int64_t token = 0;
};

// A health check ended.
struct HealthCheckCompleted {
  std::string server;
  Outcome outcome = Outcome::kOk;
  Micros duration = 0;
  LoadReport load;
};

// How a call to the counter ended.
enum class CounterOutcome {
  kOk,
  kNotAdded,  // certainly not added
  kUnknown    // may have been added
};

// The counter replied to an AddToCounter, or the call failed.
struct CounterReply {
  // The key of the AddToCounter.
  std::int64_t key = 0;
  // Sum of all gateways' amounts under this key; valid for kOk only.
  double total = 0;
  CounterOutcome outcome = CounterOutcome::kUnknown;
  Micros duration = 0;
};

// The number of other processes that serve as this gateway during a hot restart changed.
struct PeerProcessesChanged {
  int peer_count = 0;
};

// New settings apply to requests that arrive from now on. Open requests keep the class settings
// that they arrived with.
struct SettingsChanged {
  Settings settings;
};

using Event = std::variant<EndpointListUpdate, RequestArrived, StreamStarted, AttemptCompleted,
                           ClientDisconnected, TimerFired, HealthCheckCompleted, CounterReply,
                           PeerProcessesChanged, SettingsChanged, ResponseAborted, AttemptWritten>;

}  // namespace quota_gateway
