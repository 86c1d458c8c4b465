// The client sessions of one listener. Finds the session of a client, and selects the session to
// close if there are too many. The listener owns the table and closes the selected session.
// Functions that visit all sessions take time linear in their number.
#pragma once

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/client/client_session.hpp"

namespace quota_gateway::net {

class SessionTable {
 public:
  using SessionPointer = std::shared_ptr<ClientSession>;

  std::size_t size() const { return sessions_.size(); }
  void add(ClientId client, SessionPointer session) {
    sessions_.emplace(client, std::move(session));
  }
  void remove(ClientId client) { sessions_.erase(client); }
  // Null if the client has disconnected.
  SessionPointer find(ClientId client) const;
  // Copies the sessions, so that the caller may close some of them, which removes them from the
  // table, while it iterates.
  std::vector<SessionPointer> snapshot() const;

  // The session with the highest eviction rank; of several, the one that has been longest in its
  // state. Null if no session may be evicted. Never returns the session of `newest`.
  SessionPointer find_evictable(ClientId newest) const;
  // The session that has been idle between requests longest, if more than `max_idle_sessions`
  // sessions are idle between requests; else null.
  SessionPointer find_surplus_idle(std::size_t max_idle_sessions) const;

  // Makes sessions whose reading an exception has interrupted read again. Returns their number.
  std::size_t resume();

  // Total number of bytes for which all sessions hold memory for their input.
  std::size_t allocated_input_bytes() const;
  // Whether any session has unfinished work, see ClientSession.
  bool has_unfinished_work(Micros now) const;

 private:
  std::unordered_map<ClientId, SessionPointer> sessions_;
};

}  // namespace quota_gateway::net
