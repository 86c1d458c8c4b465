#include "net/discovery/list_intake.hpp"

#include <algorithm>
#include <exception>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMaxSurroundingBytes = 64 << 10;
// Ratio of the limit of a list's text to the limit of its memory. The indented text of an endpoint
// takes four times the memory of the endpoint.
constexpr std::size_t kTextBytesPerMemoryByte = 8;

// A limit on pauses alone does not detect a list that arrives slowly but steadily, and a limit on
// the total time would reject a list of 22 MB, which cannot arrive within the longest pause.
// Therefore a list must arrive at a minimum rate of half a MB per second: each byte extends the
// deadline by 2 us. The deadline is never further ahead than 1 s or the longest pause, whichever is
// longer.
constexpr Micros kMicrosPerByte = 2;
constexpr Micros kMaxTimeCredit = 1'000'000;

}  // namespace

ListIntake::ListIntake(const ListLimits& limits, Micros max_pause, std::uint64_t seed)
    : limits_(limits), max_pause_(max_pause), retry_policy_(limits, seed) {}

void ListIntake::begin(Micros now) {
  const EndpointListParserLimits parser_limits{
      limits_.memory_bytes, kTextBytesPerMemoryByte * limits_.memory_bytes, kMaxSurroundingBytes};
  parser_.emplace(std::vector<std::string>{"members"}, parser_limits);
  ++begun_count_;
  scope_ = retry_policy_.read_scope(now);
  header_checked_ = false;
  last_progress_at_.reset();
}

// A list whose field 'complete' does not precede its endpoints may be complete.
bool ListIntake::may_be_complete(const Header& header) {
  return header.complete.value_or(true);
}

// While reads are restricted, stops reading a list as soon as its header or its size shows that it
// must not be read completely. A list of changes is read completely, unless the last rejected list
// held changes too.
bool ListIntake::enforce_read_scope() {
  if (scope_ == ListReadScope::kUnlimited) {
    return false;
  }
  const std::optional<Header> header = header_checked_ ? std::nullopt : parser_->header();
  if (header) {
    header_checked_ = true;
    const bool complete = may_be_complete(*header);
    if (!complete && (!rejected_header_ || may_be_complete(*rejected_header_))) {
      scope_ = ListReadScope::kUnlimited;
      return true;
    }
    if (complete && scope_ == ListReadScope::kProbe && rejected_header_ &&
        rejected_header_->revision == header->revision) {
      throw EndpointListError("the list has the same revision as the one rejected before");
    }
  }
  if (parser_->bytes_consumed() >= retry_policy_.max_bytes(scope_)) {
    throw EndpointListError("a list of this size arrived too soon after a rejected one");
  }
  return false;
}

EndpointList ListIntake::finish() {
  EndpointList list = parser_->take_list(parser_->surrounding_json());
  // Rejects an empty list, because a discovery service that has lost its data would otherwise
  // remove all endpoints from all gateways at the same time.
  if (list.complete && list.endpoints.empty()) {
    throw EndpointListError("the complete list has no endpoints");
  }
  parser_.reset();
  if (list.complete || (rejected_header_ && !may_be_complete(*rejected_header_))) {
    rejected_header_.reset();
  }
  if (list.complete) {
    retry_policy_.reset();
  } else {
    retry_policy_.on_partial_list();
  }
  return list;
}

bool ListIntake::on_progress(std::size_t bytes, Micros now) {
  const bool first = !last_progress_at_;
  last_progress_at_ = now;
  const Micros credited_until =
      (first ? now + max_pause_ : throughput_deadline_) + Micros(bytes) * kMicrosPerByte;
  throughput_deadline_ = std::min(credited_until, now + std::max(kMaxTimeCredit, max_pause_));
  return first;
}

Micros ListIntake::deadline() const {
  return std::min(last_progress_at_.value_or(0) + max_pause_, throughput_deadline_);
}

void ListIntake::extend_deadline(Micros now, Micros grace) {
  last_progress_at_ = std::max(last_progress_at_.value_or(0), now - max_pause_ + grace);
  throughput_deadline_ = std::max(throughput_deadline_, now + grace);
}

ListIntake::Rejection ListIntake::reject(ListFailure failure, Micros now) {
  Rejection rejection;
  rejection.bytes = parser_->bytes_consumed();
  rejection.endpoints = parser_->endpoint_count();
  rejection.was_probe = scope_ == ListReadScope::kProbe;
  if (!rejection.was_probe) {
    try {
      rejected_header_ = parser_->header().value_or(Header{});
    } catch (const std::exception&) {
      rejected_header_.emplace();
    }
  }
  parser_.reset();
  retry_policy_.on_failure(scope_, rejection.bytes, failure, now);
  if (retry_policy_.is_restricted()) {
    rejection.retry_wait = retry_policy_.next_wait(now);
  }
  return rejection;
}

void ListIntake::reset() {
  abandon();
  rejected_header_.reset();
  retry_policy_.reset();
}

}  // namespace quota_gateway::net
