// How far a simulated gateway has followed discovery's list, and since when. Owned by
// SimulatedGateway, which reports each step; does no I/O and is told the time, by steady_now().
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// By number, whether the server is up.
using UpServers = std::vector<bool>;

class ListProgress {
 public:
  // `servers`: the numbers of servers that are expected, at most.
  ListProgress(std::size_t servers, Micros now) : up_servers_(servers), started_at_(now) {}

  // A list came in; it is not in force yet.
  void on_list_received(std::int64_t revision) { received_revision_ = revision; }
  void on_entries(const std::vector<EndpointEntry>& entries);
  // The decision module has all that was received. `up_count`: servers that are up by it.
  void on_lists_applied(std::size_t up_count, Micros now);
  // converged_at() is told anew, from when just these servers are known to be up.
  void expect(std::shared_ptr<const UpServers> expected, Micros now);

  // Of the list in force; 0 before the first.
  std::int64_t revision() const { return revision_; }
  Micros applied_at() const { return applied_at_; }
  std::optional<Micros> time_to_first_list() const { return time_to_first_list_; }
  std::optional<Micros> converged_at() const { return converged_at_; }
  bool has_had_list() const { return time_to_first_list_.has_value(); }
  // Whether a list without a server that is up followed one with such a server.
  bool lost_list() const { return lost_list_; }

 private:
  void check_converged(Micros now);

  UpServers up_servers_;
  // Null once converged: comparing is expensive, and once is enough.
  std::shared_ptr<const UpServers> expected_;
  const Micros started_at_;
  std::int64_t received_revision_ = 0;
  std::int64_t revision_ = 0;
  Micros applied_at_ = 0;
  std::optional<Micros> time_to_first_list_;
  std::optional<Micros> converged_at_;
  bool lost_list_ = false;
};

}  // namespace quota_gateway::scale
