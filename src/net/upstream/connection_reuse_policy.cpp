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

const ConnectionReusePolicy::Evidence* ConnectionReusePolicy::known_evidence(
    const ServerProcess& process) const {
  const auto known = by_server_.find(process.server);
  const bool is_known = known != by_server_.end() && known->second.started_at == process.started_at;
  return is_known ? &known->second : nullptr;
}

bool ConnectionReusePolicy::may_reuse(const ServerProcess& process) const {
  const Evidence* const evidence = known_evidence(process);
  return evidence == nullptr || !evidence->sends_unsolicited_bytes;
}

void ConnectionReusePolicy::on_connection_rejected(const ServerProcess& process) {
  if (Evidence* const evidence = evidence_for(process)) {
    evidence->rejects_connections = true;
  }
}

void ConnectionReusePolicy::on_response(const ServerProcess& process, bool has_same_body) {
  if (Evidence* const evidence = evidence_for(process)) {
    evidence->has_repeated_body = evidence->has_repeated_body || has_same_body;
    evidence->responds_differently = !evidence->has_repeated_body;
  }
}

void ConnectionReusePolicy::on_suspected_copy(const ServerProcess& process) {
  on_response(process, true);
}

bool ConnectionReusePolicy::may_reuse_early(const ServerProcess& process) const {
  const Evidence* const evidence = known_evidence(process);
  return evidence != nullptr && evidence->rejects_connections &&
         !evidence->sends_unsolicited_bytes &&
         (evidence->responds_differently || evidence->responds_alike);
}

bool ConnectionReusePolicy::suspects_same_body(const ServerProcess& process) const {
  const Evidence* const evidence = known_evidence(process);
  return evidence == nullptr || !evidence->responds_alike;
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
