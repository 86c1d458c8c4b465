// The idle connections of a ConnectionPool, by server. Only stores them: the pool opens, closes and
// reuses connections.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "net/upstream/upstream_connection.hpp"

namespace quota_gateway::net {

class IdleConnections {
 public:
  // Connections must be added in the order of their `idle_since`.
  void add(const UpstreamConnectionPtr& connection);
  // Does nothing if the connection is not here.
  void remove(const UpstreamConnection& connection);

  // The most recently used connection to the server that has been idle since `latest` or longer.
  // Null if there is none.
  UpstreamConnectionPtr most_recent(const std::string& server, Micros latest) const;
  // The connection that has been idle longest. Null if there is none.
  UpstreamConnectionPtr oldest() const;

  // All connections to the server.
  std::vector<UpstreamConnectionPtr> to_server(const std::string& server) const;
  // All connections that have been idle since `latest` or longer.
  std::vector<UpstreamConnectionPtr> idle_since(Micros latest) const;

 private:
  // Never empty; the most recently used is last.
  using ServerConnections = std::vector<UpstreamConnectionPtr>;

  // Has only servers with an idle connection.
  std::unordered_map<std::string, ServerConnections> by_server_;
};

}  // namespace quota_gateway::net
