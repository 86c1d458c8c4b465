#include "net/server/gateway_stats.hpp"

namespace quota_gateway::net {
namespace {

void append_line(std::string& text, const std::string& name, std::uint64_t value) {
  text.append("app.").append(name).append("=").append(std::to_string(value)).append("\n");
}

void append_aborted_responses(std::string& text, const ResponseFaultCounts& counts) {
  for (std::size_t index = 0; index < kResponseFaultCount; ++index) {
    const auto fault = ResponseFault(index);
    append_line(text, "responses_aborted." + std::string(metric_name(fault)), counts.count(fault));
  }
}

void append_upstream(std::string& text, const UpstreamCounts& upstream) {
  const AttemptRunner::Counts& in_use = upstream.connections.in_use;
  const std::size_t attempts = in_use.connecting + in_use.writing + in_use.waiting;
  append_line(text, "upstream.open", upstream.connections.open);
  append_line(text, "upstream.idle", upstream.connections.idle);
  append_line(text, "upstream.connecting", in_use.connecting);
  append_line(text, "upstream.writing", in_use.writing);
  append_line(text, "upstream.waiting", in_use.waiting);
  append_line(text, "upstream.unowned", attempts - upstream.owned_attempts);
}

}  // namespace

void GatewayStats::add_classes(const std::vector<ClassSettings>& classes) {
  for (const ClassSettings& settings : classes) {
    responses_by_class_.try_emplace(settings.name);
  }
}

ResponseCounts& GatewayStats::on_request_started(const std::string& request_class) {
  ++requests_in_progress_;
  return responses_by_class_[request_class];
}

void GatewayStats::on_request_finished(ResponseCounts& counts, RequestOutcome outcome) {
  --requests_in_progress_;
  switch (outcome) {
    case RequestOutcome::kSuccess:
      ++counts.success;
      return;
    case RequestOutcome::kOverload:
      ++counts.overload;
      return;
    case RequestOutcome::kError:
      ++counts.error;
      return;
  }
}

void GatewayStats::on_attempt_written() {
  ++attempts_written_;
}

void GatewayStats::on_reload(ReloadResult result) {
  if (result == ReloadResult::kApplied) {
    ++reloads_applied_;
  } else {
    ++reloads_rejected_;
  }
}

std::string GatewayStats::render(const EndpointCounts& endpoints, const UpstreamCounts& upstream,
                                 const MemoryCounts& memory, const RequestCounts& requests,
                                 const EventLoopCounts& event_loop) const {
  std::string text;
  for (const auto& [request_class, counts] : responses_by_class_) {
    append_line(text, "replies." + request_class + ".success", counts.success);
    append_line(text, "replies." + request_class + ".overload", counts.overload);
    append_line(text, "replies." + request_class + ".error", counts.error);
  }
  append_line(text, "dispatches", attempts_written_);
  append_line(text, "concurrent", requests_in_progress_);
  append_line(text, "targets", endpoints.listed);
  append_line(text, "targets_disabled", endpoints.unavailable);
  append_line(text, "reload_success", reloads_applied_);
  append_line(text, "reload_failure", reloads_rejected_);
  append_line(text, "violations", requests.violations);
  append_line(text, "undecided", requests.undecided);
  append_line(text, "clients.crossed_ends", requests.crossed_ends);
  append_line(text, "clients.dropped_segments", requests.dropped_input_segments);
  append_line(text, "resumed", resumed_work_);
  append_line(text, "event_loop.delays", event_loop.delays);
  append_line(text, "event_loop.max_delay_us", std::uint64_t(event_loop.max_delay));
  append_aborted_responses(text, aborted_responses_);
  append_upstream(text, upstream);
  append_line(text, "memory.used", memory.used_bytes);
  append_line(text, "memory.limit", memory.limit_bytes);
  append_line(text, "memory.rejected", memory.rejected_requests);
  append_line(text, "memory.refused_allocations", memory.refused_allocations);
  append_line(text, "memory.failed_allocations", memory.failed_allocations);
  append_line(text, "memory.reserve_used", memory.reserve_used_bytes);
  return text;
}

}  // namespace quota_gateway::net
