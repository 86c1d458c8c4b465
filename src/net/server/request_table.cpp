#include "net/server/request_table.hpp"

#include <algorithm>
#include <charconv>

namespace quota_gateway::net {

std::optional<RequestTable::Added> RequestTable::add(const std::string& trace_id) {
  // A server would treat a second request with the trace id of an open one as a duplicate of it.
  if (used_trace_ids_.contains(trace_id) || open_trace_ids_.contains(trace_id)) {
    return std::nullopt;
  }
  const std::uint64_t id = ++last_id_;
  const auto added = requests_.try_emplace(id).first;
  added->second.id = id;
  try {
    open_trace_ids_.insert(trace_id);
  } catch (...) {
    requests_.erase(added);
    throw;
  }
  return Added{id, added->second};
}

RequestTable::Iterator RequestTable::find(const std::string& decimal_id) {
  std::uint64_t id = 0;
  std::from_chars(decimal_id.data(), decimal_id.data() + decimal_id.size(), id);
  return requests_.find(id);
}

void RequestTable::remove_if_done(Iterator request) {
  if (!request->second.finished || request->second.attempts_in_flight > 0) {
    return;
  }
  const std::string& trace_id = request->second.forwarded.trace_id;
  open_trace_ids_.erase(trace_id);
  if (request->second.may_have_run && !request->second.idempotent) {
    used_trace_ids_.add(trace_id);
  }
  requests_.erase(request);
}

bool RequestTable::all_finished() const {
  return std::all_of(requests_.begin(), requests_.end(),
                     [](const auto& entry) { return entry.second.finished; });
}

std::size_t RequestTable::attempts_with_connection() const {
  std::size_t count = 0;
  for (const auto& [id, request] : requests_) {
    count += std::size_t(
        std::count_if(request.attempts.begin(), request.attempts.end(),
                      [](const Attempt& attempt) { return attempt.handle.has_connection(); }));
  }
  return count;
}

}  // namespace quota_gateway::net
