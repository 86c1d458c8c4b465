// The client sessions of one listener. Finds a client's session and chooses the one to close where
// there are too many; the listener, which owns the table, closes it. Each function that walks the
// sessions takes time in proportion to their number.
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
  // A copy, as sessions that are closed on a walk leave the table.
  std::vector<SessionPointer> snapshot() const;

  // The session that is needed least; of several, the one that is longest in its state. Null if all
  // are needed. Never that of `newest`.
  SessionPointer find_evictable(ClientId newest) const;
  // The session that has rested longest between requests, if more than `max_resting` do; else null.
  SessionPointer find_surplus_resting(std::size_t max_resting) const;

  // Unparsed bytes of all sessions together.
  std::size_t buffered_bytes() const;
  // Something would be lost if the process ended now.
  bool has_work(Micros now) const;

 private:
  std::unordered_map<ClientId, SessionPointer> sessions_;
};

}  // namespace quota_gateway::net
