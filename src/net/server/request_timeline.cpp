#include "net/server/request_timeline.hpp"

#include <algorithm>
#include <cstdio>

#include "net/upstream/response_fault.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {
namespace {

constexpr double kMicrosPerMillisecond = 1'000;

const char* describe_outcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "response";
    case Outcome::kError:
      return "error response";
    case Outcome::kOverloaded:
      return "rejected by the server";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kConnectFailed:
      return "not completely sent";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not sent";
  }
  return "unknown";
}

std::string describe_step(RequestStep step, int detail) {
  switch (step) {
    case RequestStep::kReceived:
      return "received";
    case RequestStep::kAttemptSent:
      return "attempt " + std::to_string(detail) + " sent";
    case RequestStep::kAttemptBegun:
      return "attempt begun";
    case RequestStep::kAttemptWritten:
      return "attempt written";
    case RequestStep::kAttemptEnded:
      return std::string("attempt ended: ") + describe_outcome(Outcome(detail));
    case RequestStep::kResponseFault:
      return std::string(describe(ResponseFault(detail)));
    case RequestStep::kResponseStarted:
      return "response started";
    case RequestStep::kResponseAborted:
      return "response aborted";
    case RequestStep::kAnswered:
      return "answered " + std::to_string(detail);
    case RequestStep::kClientLeft:
      return "client left";
  }
  return "unknown";
}

std::string describe_time(Micros since_first_step) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), " +%.1f ms",
                double(since_first_step) / kMicrosPerMillisecond);
  return text.data();
}

}  // namespace

void RequestTimeline::add(RequestStep step, Micros now, int detail) {
  const std::size_t index = std::min(size_, kMaxSteps - 1);
  entries_.at(index) = {now, detail, step};
  size_ = index + 1;
}

bool RequestTimeline::contains(RequestStep step) const {
  return std::any_of(entries_.begin(), entries_.begin() + std::ptrdiff_t(size_),
                     [step](const Entry& entry) { return entry.step == step; });
}

std::string RequestTimeline::describe() const {
  std::string text;
  for (std::size_t i = 0; i < size_; ++i) {
    const Entry& entry = entries_.at(i);
    if (i > 0) {
      text += ", ";
    }
    text += describe_step(entry.step, entry.detail);
    if (i > 0) {
      text += describe_time(entry.at - entries_.front().at);
    }
  }
  return text;
}

}  // namespace quota_gateway::net
