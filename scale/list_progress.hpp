// Tracks how far a simulated gateway has applied discovery's list, and since when. Owned by
// SimulatedGateway, which reports each step and passes in the time by steady_now(). Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// By server number, whether the server is up.
using UpServers = std::vector<bool>;

// Compares the servers that a gateway knows with those that are expected.
class ListProgress {
 public:
  // `servers` is the largest number of servers that is expected.
  ListProgress(std::size_t servers, Micros now) : up_servers_(servers), started_at_(now) {}

  // Called when a list has been received, before it is applied.
  void on_list_received(std::int64_t revision) { received_revision_ = revision; }
  // Called with the entries of each slice of a list that is passed to the decision module.
  void on_entries(const std::vector<EndpointEntry>& entries);
  // Called when the decision module has applied all received lists. `up_count` is the number of
  // servers that are up in them.
  void on_lists_applied(std::size_t up_count, Micros now);
  // Clears converged_at(). It is set once exactly the expected servers are known to be up.
  void expect(std::shared_ptr<const UpServers> expected, Micros now);

  // Returns the revision of the applied list; 0 before the first list.
  std::int64_t revision() const { return revision_; }
  Micros applied_at() const { return applied_at_; }
  std::optional<Micros> time_to_first_list() const { return time_to_first_list_; }
  std::optional<Micros> converged_at() const { return converged_at_; }
  bool has_had_list() const { return time_to_first_list_.has_value(); }
  // Returns whether a list without a server that is up was applied after one with such a server.
  bool lost_list() const { return lost_list_; }

 private:
  void check_converged(Micros now);

  UpServers up_servers_;
  // Null once converged: the comparison is expensive and needed only once.
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
