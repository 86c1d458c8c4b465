// Quotas of a complete gateway, with and without its counter.
#include <gtest/gtest.h>

#include <string>

#include "support/gateway_server_fixture.hpp"

namespace quota_gateway::net::testing {
namespace {

using ServerQuota = GatewayServerTest;

// A rejection must have a Retry-After header even if the settings do not allow the clients of this
// gateway to act on it.
TEST_F(ServerQuota, RejectsBeyondTheQuotaWithRetryAfter) {
  test_bed.config.settings.retry_after_allowed = false;
  test_bed.config.settings.plans[0].quota_rate = 1;
  test_bed.config.settings.plans[0].quota_burst = 3;
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  int served = 0;
  bool was_rejected = false;
  while (served < 10 && !was_rejected) {
    client.send(get_request(prefixed_number("t", served)));
    const auto response = client.receive();
    ASSERT_TRUE(response);
    if (response->result_int() == 200) {
      ++served;
      continue;
    }
    EXPECT_EQ(response->result_int(), 429U);
    EXPECT_GT(std::stod(std::string((*response)["Retry-After"])), 0);
    was_rejected = true;
  }
  EXPECT_TRUE(was_rejected);
  EXPECT_GT(served, 0);
}

TEST_F(ServerQuota, ChargesBilledUnitsToTheQuota) {
  test_bed.config.settings.units_settled_later = true;
  test_bed.config.settings.max_request_units = 4;
  test_bed.config.settings.plans[0].quota_rate = 0.001;
  // While no total is known, this gateway may use two thirds of the burst.
  test_bed.config.settings.plans[0].quota_burst = 6;
  server1.on_request = [](PeerConnection& connection, const HttpRequest&) {
    connection.write(http_response("200 OK", "Billed-Units: 4\r\n", "ok"));
  };
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  client.send(get_request("t0"));
  EXPECT_EQ(status(client), 200);  // estimated as one unit, billed as four
  client.send(get_request("t1"));
  EXPECT_EQ(status(client), 429);
}

TEST_F(ServerQuota, ReadsTotalsFromTheCounterAndAdmitsWhileItIsSilent) {
  FakeCounter counter(test_bed.io);
  test_bed.config.settings.has_counter = true;
  test_bed.config.settings.counter_timeout = 30'000;
  test_bed.config.counter_address = counter.address();
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  client.send(get_request("a"));
  EXPECT_EQ(status(client), 200);
  ASSERT_TRUE(test_bed.run_until([&] { return !counter.calls.empty(); }));
  counter.silent = true;
  client.send(get_request("b"));
  EXPECT_EQ(status(client), 200);
  counter.stop();
  client.send(get_request("c"));
  EXPECT_EQ(status(client), 200);
}

// If connection resets counted as congestion of the counter, the gateway would call it less often,
// and totals would be seconds old when they are used.
TEST_F(ServerQuota, CounterConnectionResetsDoNotSlowItsCalls) {
  FakeCounter counter(test_bed.io);
  counter.calls_per_reset = 3;
  test_bed.config.settings.has_counter = true;
  test_bed.config.settings.counter_timeout = 1'000'000;
  test_bed.config.counter_address = counter.address();
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  // Each request comes from a new customer and needs a total. At one call per second, the 50 calls
  // would not be made within the 20 s after which run_until() fails.
  ASSERT_TRUE(test_bed.run_until([&, customers = 0]() mutable {
    const std::string customer = std::to_string(10'000'000 + ++customers);
    client.send(get_request("t" + customer)
                    .replace(std::string("GET /profile-read/00000000").size(), 8, customer));
    EXPECT_EQ(status(client), 200);
    return counter.calls.size() >= 50;
  }));
}

// If the new total were ignored, a burst allowance that another gateway has just used could be used
// again here.
TEST_F(ServerQuota, RejectsOnceATotalReportsASpikeAtAnotherGateway) {
  FakeCounter counter(test_bed.io);
  test_bed.config.settings.has_counter = true;
  test_bed.config.settings.plans[0].quota_rate = 1e5;
  test_bed.config.settings.plans[0].quota_burst = 5e5;
  test_bed.config.counter_address = counter.address();
  test_bed.add_persisted_endpoint(listed_endpoint("s1", server1));
  test_bed.start();
  Client client = test_bed.client();
  int sent = 0;
  const auto send_request = [&] {
    client.send(get_request(prefixed_number("t", ++sent)));
    return status(client);
  };
  EXPECT_EQ(send_request(), 200);
  ASSERT_EQ(counter.calls.size(), 1U);
  counter.totals[counter.calls[0][1]] += 9e6;
  // The counter key of the customer changes every few seconds. If the next key is in use already,
  // the spike must be in its total.
  ASSERT_TRUE(test_bed.run_until([&] {
    send_request();
    if (counter.calls.back()[1] == counter.calls[0][1]) {
      return counter.calls.size() >= 2;
    }
    counter.totals[counter.calls.back()[1]] = 9e6;
    return counter.calls.size() >= 3;
  }));
  int rejected = 0;
  for (int i = 0; i < 10; ++i) {
    if (send_request() == 429) {
      ++rejected;
    }
  }
  // Not all 10 are rejected: this gateway still has its own slice, and a request may arrive before
  // the new total.
  EXPECT_GE(rejected, 5);
}

}  // namespace
}  // namespace quota_gateway::net::testing
