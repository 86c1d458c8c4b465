// Stores the idle connections of a ConnectionPool, grouped by server. The pool itself opens, closes
// and reuses connections.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "net/upstream/upstream_connection.hpp"

namespace quota_gateway::net {

// Finds idle connections by server and by idle time.
class IdleConnections {
 public:
  // Adds a connection. Connections must be added in ascending order of their `idle_since`.
  void add(const UpstreamConnectionPtr& connection);
  // Removes a connection. Does nothing if it is not stored.
  void remove(const UpstreamConnection& connection);

  // Returns the most recently used connection to `server` among those that became idle at or before
  // `idle_cutoff` and are not observed, or null if there is none.
  UpstreamConnectionPtr most_recent(const std::string& server, Micros idle_cutoff) const;
  // Returns the connection that has been idle longest, or null if there is none.
  UpstreamConnectionPtr oldest() const;

  // Returns the number of connections to all servers.
  std::size_t size() const;
  // Returns all connections to `server`.
  std::vector<UpstreamConnectionPtr> to_server(const std::string& server) const;
  // Returns all connections that became idle at or before `idle_cutoff`.
  std::vector<UpstreamConnectionPtr> idle_since(Micros idle_cutoff) const;

 private:
  // Never empty, in ascending order of `idle_since`.
  using ServerConnections = std::vector<UpstreamConnectionPtr>;

  // Contains only servers that have at least one idle connection.
  std::unordered_map<std::string, ServerConnections> by_server_;
};

}  // namespace quota_gateway::net
