#include "net/discovery/list_intake.hpp"

#include <algorithm>
#include <exception>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMaxSurroundingBytes = 64 << 10;
// An endpoint's text, indented, takes four times its memory.
constexpr std::size_t kTextBytesPerMemoryByte = 8;

// A list that trickles always has more to come, and one of 22 MB can't arrive within the longest
// pause. So each byte earns a list more time, that is half a MB a second, but never more than so
// much ahead.
constexpr Micros kMicrosPerByte = 2;
constexpr Micros kMaxEarnedTime = 1'000'000;

}  // namespace

ListIntake::ListIntake(const ListLimits& limits, Micros max_pause, std::uint64_t seed)
    : limits_(limits), max_pause_(max_pause), retry_policy_(limits, seed) {}

void ListIntake::begin(Micros now) {
  const EndpointListLimits parser_limits{
      limits_.memory_bytes, kTextBytesPerMemoryByte * limits_.memory_bytes, kMaxSurroundingBytes};
  parser_.emplace(std::vector<std::string>{"members"}, parser_limits);
  ++begun_count_;
  scope_ = retry_policy_.read_scope(now);
  header_checked_ = false;
  last_progress_at_.reset();
}

// A list that does not say so before its endpoints may be complete.
bool ListIntake::may_be_complete(const Header& header) {
  return header.complete.value_or(true);
}

// While lists fail again and again, one that would fail too is abandoned as soon as it can be
// distinguished from one that may be accepted.
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
      throw EndpointListError("the same list as the one rejected before");
    }
  }
  if (parser_->bytes_consumed() >= retry_policy_.max_bytes(scope_)) {
    throw EndpointListError("a complete list, too soon after a rejected one");
  }
  return false;
}

EndpointList ListIntake::finish() {
  EndpointList list = parser_->take_list(parser_->surrounding_json());
  // A discovery that has lost its own list would take every endpoint from all gateways at once.
  if (list.complete && list.endpoints.empty()) {
    throw EndpointListError("the list is empty");
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
  const Micros earned_until =
      (first ? now + max_pause_ : pace_deadline_) + Micros(bytes) * kMicrosPerByte;
  pace_deadline_ = std::min(earned_until, now + std::max(kMaxEarnedTime, max_pause_));
  return first;
}

Micros ListIntake::deadline() const {
  return std::min(last_progress_at_.value_or(0) + max_pause_, pace_deadline_);
}

void ListIntake::extend_deadline(Micros now, Micros grace) {
  last_progress_at_ = std::max(last_progress_at_.value_or(0), now - max_pause_ + grace);
  pace_deadline_ = std::max(pace_deadline_, now + grace);
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
