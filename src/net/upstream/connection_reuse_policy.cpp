#include "net/upstream/connection_reuse_policy.hpp"

#include <cstddef>

namespace quota_gateway::net {
namespace {

// Limits the memory. Evidence about one more server replaces that about any other one.
constexpr std::size_t kMaxServers = 4'096;
// Limits how many connections to a sound server are out of use at a time.
constexpr int kMaxObservedConnections = 4;

}  // namespace

ConnectionReusePolicy::Evidence* ConnectionReusePolicy::evidence_for(const ServerProcess& process) {
  const auto known = by_server_.find(process.server);
  if (known == by_server_.end()) {
    if (by_server_.size() >= kMaxServers) {
      by_server_.erase(by_server_.begin());
    }
    return &by_server_.emplace(process.server, Evidence{process.started_at}).first->second;
  }
  Evidence& evidence = known->second;
  if (evidence.started_at < process.started_at) {
    evidence = Evidence{process.started_at};
  }
  return evidence.started_at == process.started_at ? &evidence : nullptr;
}

void ConnectionReusePolicy::on_unsolicited_bytes(const ServerProcess& process) {
  if (Evidence* const evidence = evidence_for(process)) {
    evidence->sends_unsolicited_bytes = true;
  }
}

bool ConnectionReusePolicy::may_reuse(const ServerProcess& process) const {
  const auto known = by_server_.find(process.server);
  const bool is_known = known != by_server_.end() && known->second.started_at == process.started_at;
  return !is_known || !known->second.sends_unsolicited_bytes;
}

bool ConnectionReusePolicy::begin_observation(const ServerProcess& process) {
  Evidence* const evidence = evidence_for(process);
  if (evidence == nullptr || evidence->responds_alike ||
      evidence->observed_connections >= kMaxObservedConnections) {
    return false;
  }
  ++evidence->observed_connections;
  return true;
}

void ConnectionReusePolicy::end_observation(const ServerProcess& process, bool was_silent) {
  Evidence* const evidence = evidence_for(process);
  if (evidence == nullptr || evidence->observed_connections == 0) {
    return;  // the evidence was replaced in the meantime
  }
  --evidence->observed_connections;
  evidence->responds_alike = evidence->responds_alike || was_silent;
}

}  // namespace quota_gateway::net
