#include "net/discovery/discovery_outage_log.hpp"

#include <iostream>

namespace quota_gateway::net {
namespace {

constexpr Micros kMicrosPerMillisecond = 1000;

}  // namespace

void DiscoveryOutageLog::on_disconnected(const WatchDisconnect& cause, std::int64_t revision,
                                         Micros now) {
  if (log_limit_.try_log(now)) {
    std::cerr << "discovery: " << cause.detail << "; watching again from revision " << revision
              << '\n';
  }
  if (!disconnected_at_) {
    disconnected_at_ = now;
  }
}

void DiscoveryOutageLog::on_list_rejected(const ListIntake::Rejection& rejection,
                                          const WatchDisconnect& cause, std::int64_t revision,
                                          Micros retry_wait, Micros now) {
  log_limit_.on_logged(now);
  std::cerr << "discovery: endpoint list rejected after " << rejection.bytes << " bytes and "
            << rejection.endpoints << " endpoints: " << cause.detail << "; revision " << revision
            << " stays in force, changes are requested in " << retry_wait / kMicrosPerMillisecond
            << " ms\n";
}

void DiscoveryOutageLog::on_healthy(Micros now) {
  if (disconnected_at_) {
    std::cerr << "discovery: recovered after " << (now - *disconnected_at_) / kMicrosPerMillisecond
              << " ms\n";
  }
  disconnected_at_.reset();
}

}  // namespace quota_gateway::net
