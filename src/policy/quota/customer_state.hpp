// The state that one gateway keeps for one customer: plain data without logic. QuotaAllocator owns
// one CustomerState per customer; the other quota modules and the gateway read and update it by
// reference. A reference stays valid while the customer has a request in progress.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

// Estimates of the customer's demand in units per second, including rejected requests.
struct Demand {
  double own = 0;     // through this gateway; a decaying mean
  double others = 0;  // through all other gateways; a smoothed mean
};

// The part of the budget that a request was charged to; refunds go to the same part.
enum class BudgetSource {
  kTokens,           // LocalBudget::tokens
  kSliceCredit,      // LocalBudget::slice_credit
  kPoolReservation,  // CustomerState::quota_reservation
};

// Units of the quota that this gateway may admit without a call to the counter.
struct LocalBudget {
  // Estimated remaining units of the customer's quota over all gateways, a token bucket; below 0:
  // debt.
  double tokens = 0;
  // The part of the tokens that this gateway may spend until the next counter total.
  double own_allowance = 0;
  // Unspent units of this gateway's slice, credited when demand exceeds the quota.
  double slice_credit = 0;
};

// Demand that has not been reported to the counter yet.
struct UnreportedDemand {
  double units = 0;
  int requests = 0;
  double last_request_units = 0;  // not reset by a report
};

// The customer's total at the counter. All gateways add their demand to one key, which changes with
// each rotation window.
struct CounterTotal {
  std::optional<Micros> trusted_at;  // when a plausible total was last read; none until the first
  Micros read_at = 0;                // when the present key was last read, or its window began
  std::int64_t rotation_window = 0;  // number of the present key's window
  double value = 0;                  // units; the key's total when last read
  double own_additions = 0;          // units that this gateway has added since `read_at`
  double assumed_others = 0;         // units that others are assumed to have spent since `read_at`
  int calls_in_flight = 0;
  Micros last_call_at = 0;
  std::vector<std::string> waiting_request_ids;  // requests that wait for the first total
};

// This gateway's even share of the customer's hard rate ceiling: a token bucket.
struct CeilingShare {
  double units = 0;
  Micros refilled_at = 0;
};

// Pools that all gateways of a customer share through the counter.
enum class PoolKind {
  kCeiling,
  kQuota,
};

// Units reserved from a shared pool. They are valid in `window` only.
struct PoolReservation {
  double units = 0;
  std::optional<std::int64_t> window;  // none until the first reservation
  bool exhausted = false;              // the pool has no units left in `window`
  bool in_flight = false;              // a call is in flight; the customer must outlive it
  std::vector<std::string> waiting_request_ids;  // requests that wait for the call
};

// When demand exceeds the quota, only a fraction of a sparse customer's requests tries to reserve
// units.
struct ReservationSampling {
  double fraction = 1;     // of the requests
  double accumulated = 0;  // sum of fractions; each time it reaches 1, one request may reserve
};

// All state of one customer.
struct CustomerState {
  const PlanSettings* plan = nullptr;
  std::uint64_t key = 0;        // hash of the name, the same at all gateways
  int gateway_subset_size = 1;  // number of gateway processes that receive the customer's requests
  int attempts_in_progress = 0;
  int open_requests = 0;  // requests that refer to this state
  Micros last_request_at = 0;
  Micros estimated_at = 0;  // demand and budget are as of this instant
  double quota_rate = 0;    // units per second; attempt-seconds per second under a concurrency cap
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
