#include "connection_pool_fixture.hpp"

namespace quota_gateway::net::testing {

ConnectionPoolFixture::ConnectionPoolFixture() {
  request.method = "POST";
  request.target = "/intro-request/1?q";
  request.host = "origin.svc";
  request.trace_id = "t1";
  request.idempotency_key = "k1";
  request.body = "hello";
}

ConnectionPoolLimits ConnectionPoolFixture::immediate_reuse() {
  ConnectionPoolLimits limits;
  limits.reuse_delay = 0;
  limits.max_observation = 0;
  return limits;
}

void ConnectionPoolFixture::make_pool(ConnectionPoolLimits limits) {
  AttemptEvents events;
  events.may_begin = [this](AttemptKey) { return attempts_may_begin; };
  events.on_complete = [this](AttemptKey key, AttemptResult result) {
    results.emplace_back(key, std::move(result));
  };
  events.on_request_written = [this](AttemptKey) { on_request_written(); };
  pools.emplace_back(io, timers, clock, limits, std::move(events));
  endpoint_list.complete = true;
  endpoint_list.endpoints = {listed_endpoint("s", server)};
  pool().update(endpoint_list);
}

void ConnectionPoolFixture::send(std::uint64_t number, const std::string& server_name) {
  attempts[number] =
      pool().send({number, 0}, server_name, request, {.deadline = clock.now() + 10'000'000});
}

AttemptResult ConnectionPoolFixture::run_attempt(std::uint64_t number,
                                                 const std::string& server_name) {
  const std::size_t expected = results.size() + 1;
  send(number, server_name);
  EXPECT_TRUE(run_until(io, [&] { return results.size() == expected; }));
  return results.empty() ? AttemptResult{} : results.back().second;
}

Outcome ConnectionPoolFixture::outcome_of_response(const std::string& bytes) {
  respond_with(bytes);
  make_pool();
  return run_attempt(1).outcome;
}

Outcome ConnectionPoolFixture::outcome_of_response_and_close(const std::string& bytes) {
  server.on_request = [bytes](PeerConnection& peer, const HttpRequest&) {
    peer.write(bytes);
    peer.close();
  };
  make_pool();
  return run_attempt(1).outcome;
}

void ConnectionPoolFixture::respond_with(const std::string& bytes) {
  server.on_request = [bytes](PeerConnection& peer, const HttpRequest&) { peer.write(bytes); };
}

bool ConnectionPoolFixture::is_closed(std::size_t connection) {
  return run_until(io, [&] { return server.peers.at(connection)->closed; });
}

}  // namespace quota_gateway::net::testing
