// A ConnectionPool that sends requests to a FakeServer on loopback: the fixture of all tests of
// this folder that need connections.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "net/upstream/connection_pool.hpp"
#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {

class ConnectionPoolFixture : public ::testing::Test {
 protected:
  ConnectionPoolFixture();

  // Limits without a delay before reuse: the next request may take the same connection at once.
  static ConnectionPoolLimits immediate_reuse();

  // Makes pool() a new pool that knows `server` as "s".
  void make_pool(ConnectionPoolLimits limits = immediate_reuse());
  ConnectionPool& pool() { return pools.back(); }

  // Starts an attempt at the server that is listed by that name.
  void send(std::uint64_t number, const std::string& server_name = "s");
  // Starts an attempt and waits for its result.
  AttemptResult run_attempt(std::uint64_t number, const std::string& server_name = "s");

  // The outcome of an attempt, on a new pool, whose request the server answers with these bytes.
  Outcome outcome_of_response(const std::string& bytes);
  // The same if the server then closes the connection.
  Outcome outcome_of_response_and_close(const std::string& bytes);
  // From now on the server answers each request with these bytes.
  void respond_with(const std::string& bytes);

  // Whether the server's connection, by order of arrival, is closed before long.
  bool is_closed(std::size_t connection);

  boost::asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  FakeServer server{io};
  // The list that make_pool() applied; tests change it and apply it again.
  EndpointList endpoint_list;
  // What each attempt sends.
  ForwardedRequest request;
  // Of all attempts, in the order of their ends.
  std::vector<std::pair<AttemptKey, AttemptResult>> results;
  // The current one is last. Former ones stay, because their handlers may still run.
  std::deque<ConnectionPool> pools;
};

}  // namespace quota_gateway::net::testing
