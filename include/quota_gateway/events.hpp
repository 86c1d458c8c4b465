// What the decision module is notified of. Plain values; Gateway::handle takes them in batches.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway {

enum class EndpointState { kUp, kDraining, kRemoved };

// One server as discovery lists it.
struct EndpointEntry {
  std::string server;
  std::string zone;
  std::string hardware_generation;
  // Servers of one cell share the memory of idempotency keys, see DedupScope.
  std::int64_t cell = 0;
  EndpointState state = EndpointState::kUp;
  // Relative capacity.
  double weight = 1;
  // When its process started; 0: long ago. Not an optional: lists hold 170,000 entries.
  Micros started_at = 0;
};

// What a server said of its own load with a response; a value that it left out is empty.
struct LoadReport {
  std::optional<double> in_flight;
  std::optional<double> queued;
  std::optional<double> cpu;
  std::optional<double> service_ms;
  std::optional<double> served_per_s;
  std::optional<double> errors_per_s;
};

// How an attempt ended, and whether the server may have run it.
enum class Outcome {
  kOk,
  kError,          // may have run
  kOverloaded,     // the server rejected it: never ran
  kTimeout,        // may have run, may be running
  kConnectFailed,  // never ran
  kReset,          // may have run
  kCancelled,      // may have run
  kNotSent         // never ran
};

// Discovery notified of servers.
struct EndpointListUpdate {
  enum class Kind {
    kPartial,    // only what changed
    kComplete,   // all servers; those left out are gone
    kPersisted,  // a complete list that was cached, for a start without discovery
    kError       // discovery failed; the list in force stays
  };
  Kind kind = Kind::kComplete;
  std::vector<EndpointEntry> entries;
};

// A client's request was read.
struct RequestArrived {
  std::string id;
  std::string customer;
  std::string plan;
  std::string request_class;
  double units = 1;
  // When the client stops waiting.
  Micros deadline = 0;
  // Number of gateways through which this customer's requests come; 0: all.
  int gateway_subset_size = 1;
  // Index of the first of them; the others follow, counted round.
  int gateway_subset_start = 0;
  bool is_client_retry = false;
  // The body is long and still being read; AttemptWritten follows once all of it was forwarded.
  bool body_pending = false;
};

// The last byte of a request with `body_pending` was forwarded.
struct AttemptWritten {
  std::string id;
  int attempt = 0;
};

// A streamed response began: the attempt now belongs to the client.
struct StreamStarted {
  std::string id;
  int attempt = 0;
  std::string server;
};

// An attempt ended.
struct AttemptCompleted {
  std::string id;
  // Number of the attempt of its request, from 0.
  int attempt = 0;
  std::string server;
  Outcome outcome = Outcome::kOk;
  Micros duration = 0;
  // The client has its final response.
  bool request_answered = false;
  // Percent of its quota that the customer has used, where the server said so.
  std::optional<int> quota_usage_percent;
  // The request's true units, where they are settled after the response.
  std::optional<double> billed_units;
  LoadReport load;
};

// A response that AttemptCompleted reported as served broke off at its server.
struct ResponseAborted {
  std::string server;
};

// The client closed its connection or gave the request up.
struct ClientDisconnected {
  std::string id;
};

// A timer that SetTimer asked for is due.
struct TimerFired {
  std::int64_t token = 0;
};

struct HealthCheckCompleted {
  std::string server;
  Outcome outcome = Outcome::kOk;
  Micros duration = 0;
  LoadReport load;
};

enum class CounterOutcome {
  kOk,
  kNotAdded,  // certainly not added
  kUnknown    // may have been added
};

// The counter replied to AddToCounter, or the call was given up.
struct CounterReply {
  // As in AddToCounter.
  std::int64_t key = 0;
  // Sum of all gateways' amounts under this name, for kOk.
  double total = 0;
  CounterOutcome outcome = CounterOutcome::kUnknown;
  Micros duration = 0;
};

// The number of other processes that serve as this gateway, during a hot restart.
struct PeerProcessesChanged {
  int peer_count = 0;
};

// New settings for requests that arrive from now on; open requests keep the class they came with.
struct SettingsChanged {
  Settings settings;
};

using Event = std::variant<EndpointListUpdate, RequestArrived, StreamStarted, AttemptCompleted,
                           ClientDisconnected, TimerFired, HealthCheckCompleted, CounterReply,
                           PeerProcessesChanged, SettingsChanged, ResponseAborted, AttemptWritten>;

}  // namespace quota_gateway
