#include "net/client/session_table.hpp"

#include <algorithm>

#include "net/event_loop/exception_guard.hpp"

namespace quota_gateway::net {

SessionTable::SessionPointer SessionTable::find(ClientId client) const {
  const auto found = sessions_.find(client);
  return found == sessions_.end() ? nullptr : found->second;
}

std::vector<SessionTable::SessionPointer> SessionTable::snapshot() const {
  std::vector<SessionPointer> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [client, session] : sessions_) {
    sessions.push_back(session);
  }
  return sessions;
}

SessionTable::SessionPointer SessionTable::find_evictable(ClientId newest) const {
  SessionPointer chosen;
  EvictionRank highest = EvictionRank::kNever;
  for (const auto& [client, session] : sessions_) {
    if (client == newest) {
      continue;
    }
    const EvictionRank rank = session->eviction_rank();
    if (rank == EvictionRank::kNever || rank < highest) {
      continue;
    }
    if (rank == highest && session->state_since() >= chosen->state_since()) {
      continue;
    }
    highest = rank;
    chosen = session;
  }
  return chosen;
}

SessionTable::SessionPointer SessionTable::find_surplus_idle(std::size_t max_idle_sessions) const {
  SessionPointer longest_idle;
  std::size_t idle_sessions = 0;
  for (const auto& [client, session] : sessions_) {
    if (!session->is_idle_between_requests()) {
      continue;
    }
    ++idle_sessions;
    if (!longest_idle || session->state_since() < longest_idle->state_since()) {
      longest_idle = session;
    }
  }
  return idle_sessions > max_idle_sessions ? longest_idle : nullptr;
}

std::size_t SessionTable::resume() {
  std::size_t resumed = 0;
  for (const auto& entry : sessions_) {
    run_and_log_exceptions("client session", [&] { resumed += entry.second->resume() ? 1 : 0; });
  }
  return resumed;
}

std::size_t SessionTable::allocated_input_bytes() const {
  std::size_t total = 0;
  for (const auto& [client, session] : sessions_) {
    total += session->allocated_input_bytes();
  }
  return total;
}

bool SessionTable::has_unfinished_work(Micros now) const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [now](const auto& entry) { return entry.second->has_unfinished_work(now); });
}

}  // namespace quota_gateway::net
