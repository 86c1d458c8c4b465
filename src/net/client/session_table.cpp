#include "net/client/session_table.hpp"

#include <algorithm>

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

SessionTable::SessionPointer SessionTable::find_surplus_resting(std::size_t max_resting) const {
  SessionPointer longest;
  std::size_t resting = 0;
  for (const auto& [client, session] : sessions_) {
    if (!session->rests_between_requests()) {
      continue;
    }
    ++resting;
    if (!longest || session->state_since() < longest->state_since()) {
      longest = session;
    }
  }
  return resting > max_resting ? longest : nullptr;
}

std::size_t SessionTable::buffered_bytes() const {
  std::size_t total = 0;
  for (const auto& [client, session] : sessions_) {
    total += session->buffered_bytes();
  }
  return total;
}

bool SessionTable::has_work(Micros now) const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [now](const auto& entry) { return entry.second->has_work(now); });
}

}  // namespace quota_gateway::net
