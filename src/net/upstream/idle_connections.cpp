#include "net/upstream/idle_connections.hpp"

#include <algorithm>

namespace quota_gateway::net {

void IdleConnections::add(const UpstreamConnectionPtr& connection) {
  by_server_[connection->server].push_back(connection);
}

void IdleConnections::remove(const UpstreamConnection& connection) {
  const auto entry = by_server_.find(connection.server);
  if (entry == by_server_.end()) {
    return;
  }
  std::erase_if(entry->second, [&](const UpstreamConnectionPtr& candidate) {
    return candidate.get() == &connection;
  });
  if (entry->second.empty()) {
    by_server_.erase(entry);
  }
}

std::size_t IdleConnections::size() const {
  std::size_t size = 0;
  for (const auto& [server, connections] : by_server_) {
    size += connections.size();
  }
  return size;
}

UpstreamConnectionPtr IdleConnections::most_recent(const std::string& server,
                                                   Micros idle_cutoff) const {
  const auto entry = by_server_.find(server);
  if (entry == by_server_.end()) {
    return nullptr;
  }
  const ServerConnections& connections = entry->second;
  const auto found = std::find_if(
      connections.rbegin(), connections.rend(), [&](const UpstreamConnectionPtr& connection) {
        return connection->idle_since <= idle_cutoff && !connection->is_observed;
      });
  return found == connections.rend() ? nullptr : *found;
}

UpstreamConnectionPtr IdleConnections::oldest() const {
  const UpstreamConnectionPtr* oldest = nullptr;
  for (const auto& [server, connections] : by_server_) {
    if (!oldest || connections.front()->idle_since < (*oldest)->idle_since) {
      oldest = &connections.front();
    }
  }
  return oldest ? *oldest : nullptr;
}

std::vector<UpstreamConnectionPtr> IdleConnections::to_server(const std::string& server) const {
  const auto entry = by_server_.find(server);
  return entry == by_server_.end() ? ServerConnections() : entry->second;
}

std::vector<UpstreamConnectionPtr> IdleConnections::idle_since(Micros idle_cutoff) const {
  std::vector<UpstreamConnectionPtr> found;
  for (const auto& [server, connections] : by_server_) {
    for (const UpstreamConnectionPtr& connection : connections) {
      if (connection->idle_since <= idle_cutoff) {
        found.push_back(connection);
      }
    }
  }
  return found;
}

}  // namespace quota_gateway::net
