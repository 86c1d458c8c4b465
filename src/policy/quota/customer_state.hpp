// What one gateway knows of one customer: plain data, without rules. QuotaAllocator owns one
// CustomerState per customer; the other quota modules and the gateway read and update it by
// reference. A reference stays valid while the customer has a request in progress.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// Estimates of the customer's demand in units a second, rejected requests included.
struct Demand {
  double own = 0;     // through this gateway; a decaying mean
  double others = 0;  // through all other gateways; a smoothed mean
};

// Where a request's units were charged, so that they can be refunded there.
enum class BudgetSource {
  kTokens,
  kSliceCredit,
  kPoolReservation,  // the reservation from the quota's shared pool
};

// Units of the quota that this gateway may let through without asking anybody.
struct LocalBudget {
  double tokens = 0;  // left of the whole quota, as far as this gateway can tell; below 0: debt
  double own_allowance = 0;  // of the store, this gateway's to spend until the next counter total
  double slice_credit = 0;   // of this gateway's slice, not yet spent while the store is empty
};

// Demand that no call has reported to the counter yet.
struct UnreportedDemand {
  double units = 0;
  int requests = 0;
  double last_request_units = 0;  // kept when the rest is reported
};

// The customer's total at the counter: all gateways add their demand to one name per epoch.
struct CounterTotal {
  std::optional<Micros> trusted_at;  // when a total was last believed; none until the first
  Micros read_at = 0;                // when the current name was last read
  std::int64_t rotation_window = 0;  // the epoch of the current name
  double value = 0;                  // units; the name's total when last read
  double own_additions = 0;          // units that this gateway added since
  double assumed_others = 0;         // units that others are assumed to have spent since
  int calls_in_flight = 0;
  Micros last_call_at = 0;
  std::vector<std::string> waiting_request_ids;  // ids of requests that wait for the first total
};

// This gateway's even share of the customer's hard rate ceiling: a token bucket.
struct CeilingShare {
  double units = 0;
  Micros filled_at = 0;
};

// Pools that all gateways of a customer share through the counter.
enum class PoolKind {
  kCeiling,
  kQuota,
};

// Units reserved from a shared pool; they are valid in `window` alone.
struct PoolReservation {
  double units = 0;
  std::optional<std::int64_t> window;  // none until the first reservation
  bool exhausted = false;              // nothing is left of the pool in `window`
  bool in_flight = false;              // a call is on its way; the customer must outlive it
  std::vector<std::string> waiting_request_ids;  // ids of requests that wait for the call
};

// Past the quota only a fraction of a sparse customer's requests tries to reserve units.
struct ReservationSampling {
  double fraction = 1;     // of the requests
  double accumulated = 0;  // sum of fractions; a request may reserve each time it reaches 1
};

struct CustomerState {
  const PlanSettings* plan = nullptr;
  std::uint64_t key = 0;        // hash of the name, the same at all gateways
  int gateway_subset_size = 1;  // gateways (their processes) through which the customer comes
  int attempts_in_progress = 0;
  Micros last_request_at = 0;
  Micros estimated_at = 0;  // demand and budget are as of this instant
  double quota_rate = 0;    // units a second; attempt-seconds a second under a concurrency cap
  Demand demand;
  LocalBudget budget;
  UnreportedDemand unreported;
  CounterTotal counter_total;
  CeilingShare ceiling;
  PoolReservation ceiling_reservation;
  PoolReservation quota_reservation;
  ReservationSampling sampling;

  PoolReservation& reservation(PoolKind kind) {
    return kind == PoolKind::kCeiling ? ceiling_reservation : quota_reservation;
  }
  const PoolReservation& reservation(PoolKind kind) const {
    return kind == PoolKind::kCeiling ? ceiling_reservation : quota_reservation;
  }
};

}  // namespace quota_gateway::policy
