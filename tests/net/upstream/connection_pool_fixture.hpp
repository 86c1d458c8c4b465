// Test fixture with a ConnectionPool that sends requests to a FakeServer on loopback, for all tests
// in this folder that need connections.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "net/upstream/connection_pool.hpp"
#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {

// Owns the event loop, the server, the pools and the results of all attempts.
class ConnectionPoolFixture : public ::testing::Test {
 protected:
  ConnectionPoolFixture();

  // Returns limits without a reuse delay: a connection can be reused immediately after a response.
  static ConnectionPoolLimits immediate_reuse();

  // Creates a new pool, which pool() then returns. Its endpoint list contains `server` as "s".
  void make_pool(ConnectionPoolLimits limits = immediate_reuse());
  ConnectionPool& pool() { return pools.back(); }

  // Starts an attempt on the server that is listed as `server_name`.
  void send(std::uint64_t number, const std::string& server_name = "s");
  // Starts an attempt, waits for its result and returns it.
  AttemptResult run_attempt(std::uint64_t number, const std::string& server_name = "s");

  // Creates a new pool, runs an attempt to which the server responds with `bytes`, and returns the
  // outcome.
  Outcome outcome_of_response(const std::string& bytes);
  // The same, but the server closes the connection after `bytes`.
  Outcome outcome_of_response_and_close(const std::string& bytes);
  // Makes the server respond to each further request with `bytes`.
  void respond_with(const std::string& bytes);

  // Waits until the server's connection with this index, in order of acceptance, is closed. Returns
  // false on a timeout.
  bool is_closed(std::size_t connection);

  boost::asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  FakeServer server{io};
  // The list that make_pool() applies. Tests modify it and apply it again.
  EndpointList endpoint_list;
  // The request that each attempt sends.
  ForwardedRequest request;
  // What AttemptEvents::may_begin returns.
  bool attempts_may_begin = true;
  // Called right after the last byte of a request was written, before the wait for the response.
  std::function<void()> on_request_written = [] {};
  // The results of all attempts, in the order in which they ended.
  std::vector<std::pair<AttemptKey, AttemptResult>> results;
  // The current pool is the last. Earlier pools stay alive because their handlers may still run.
  std::deque<ConnectionPool> pools;
  // The attempts that were sent, by number.
  std::map<std::uint64_t, AttemptHandle> attempts;
};

}  // namespace quota_gateway::net::testing
