// Quotas of a complete gateway, with and without its counter.
#include <gtest/gtest.h>

#include <string>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using ServerQuota = GatewayServerTest;

TEST_F(ServerQuota, RejectsBeyondTheQuotaWithRetryAfter) {
  // Guards against refusals that do not say when to come back, also where the site's own clients do
  // not ask.
  rig.config.settings.retry_after_allowed = false;
  rig.config.settings.plans[0].quota_rate = 1;
  rig.config.settings.plans[0].quota_burst = 3;
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  int refused = 0;
  for (int i = 0; i < 10 && refused == 0; ++i) {
    client.send(get(label("t", i)));
    const auto answer = client.receive();
    ASSERT_TRUE(answer);
    if (answer->result_int() == 200) {
      continue;
    }
    EXPECT_EQ(answer->result_int(), 429U);
    EXPECT_GT(std::stod(std::string((*answer)["Retry-After"])), 0);
    refused = i + 1;
  }
  EXPECT_GT(refused, 1);
}

TEST_F(ServerQuota, ChargesBilledUnitsToTheQuota) {
  rig.config.settings.units_settled_later = true;
  rig.config.settings.max_request_units = 4;
  rig.config.settings.plans[0].quota_rate = 0.001;
  rig.config.settings.plans[0].quota_burst = 6;  // two thirds of it, while no total is known
  server1.on_request = [](Peer& connection, const Request_&) {
    connection.write(reply("200 OK", "Billed-Units: 4\r\n", "ok"));
  };
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  client.send(get("t0"));
  EXPECT_EQ(status(client), 200);  // guessed as one, billed as four
  client.send(get("t1"));
  EXPECT_EQ(status(client), 429);
}

TEST_F(ServerQuota, ReadsTotalsFromTheCounterAndAdmitsWhileItIsSilent) {
  FakeCounter counter(rig.io);
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 30'000;
  rig.config.counter_address = counter.address();
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  client.send(get("a"));
  EXPECT_EQ(status(client), 200);
  ASSERT_TRUE(rig.until([&] { return !counter.calls.empty(); }));
  counter.silent = true;
  client.send(get("b"));
  EXPECT_EQ(status(client), 200);
  counter.stop();
  client.send(get("c"));
  EXPECT_EQ(status(client), 200);
}

TEST_F(ServerQuota, CounterConnectionResetsDoNotSlowItsCalls) {
  // Guards against resets that are taken for a crowd at the counter: totals then are seconds old
  // when spent.
  FakeCounter counter(rig.io);
  counter.resets_every = 3;
  rig.config.settings.has_counter = true;
  rig.config.settings.counter_timeout = 1'000'000;
  rig.config.counter_address = counter.address();
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  // Each request is of a customer who is met for the first time, and needs a total. A pace that
  // falls to one call a second would not get there before the test's patience ends.
  ASSERT_TRUE(rig.until([&, customers = 0]() mutable {
    const std::string customer = std::to_string(10'000'000 + ++customers);
    client.send(
        get("t" + customer).replace(std::string("GET /profile-read/00000000").size(), 8, customer));
    EXPECT_EQ(status(client), 200);
    return counter.calls.size() >= 50;
  }));
}

TEST_F(ServerQuota, RejectsOnceATotalReportsASpikeAtAnotherGateway) {
  // Guards against a store that is spent here again although another gateway has just spent it.
  FakeCounter counter(rig.io);
  rig.config.settings.has_counter = true;
  rig.config.settings.plans[0].quota_rate = 1e5;
  rig.config.settings.plans[0].quota_burst = 5e5;
  rig.config.counter_address = counter.address();
  rig.know(member("s1", server1));
  rig.start();
  Client client = rig.client();
  int asked = 0;
  const auto ask = [&] {
    client.send(get(label("t", ++asked)));
    return status(client);
  };
  EXPECT_EQ(ask(), 200);
  ASSERT_EQ(counter.calls.size(), 1U);
  counter.totals[counter.calls[0][1]] += 9e6;
  // A name serves for some seconds only, and the next may have begun: then its total tells of the
  // spike.
  ASSERT_TRUE(rig.until([&] {
    ask();
    if (counter.calls.back()[1] == counter.calls[0][1])
      return counter.calls.size() >= 2;
    counter.totals[counter.calls.back()[1]] = 9e6;
    return counter.calls.size() >= 3;
  }));
  int refused = 0;
  for (int i = 0; i < 10; ++i) {
    refused += ask() == 429;
  }
  EXPECT_GE(
      refused,
      5);  // but for the slice that is left to us, and for one that the total had yet to reach
}

}  // namespace
}  // namespace quota_gateway::net::testing
