// Tests the decision module from end to end: late or malformed input, log lines and determinism.
#include "quota_gateway/gateway.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/gateway_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(Gateway, EventsOfEndedRequestsAreIgnored) {
  GatewayHarness gateway;
  const auto sent = attempts(gateway.receive_request(kMillisecond, "r"));
  gateway.complete(2 * kMillisecond, sent.at(0));
  const auto actions = gateway.complete(3 * kMillisecond, sent[0], {.outcome = Outcome::kTimeout});
  EXPECT_TRUE(attempts(actions).empty());
  EXPECT_TRUE(gateway
                  .handle(4 * kMillisecond, {ClientDisconnected{"r"},
                                             ClientDisconnected{"never seen"}, TimerFired{987654}})
                  .empty());
  const auto later = gateway.run_timers(2 * kSecond);
  EXPECT_TRUE(attempts(later).empty());
  EXPECT_TRUE(rejections(later).empty());
}

// Requests of fifty customers with invalid units and gateway subsets.
std::vector<Event> malformed_requests(int count, Micros now) {
  std::vector<Event> events;
  for (int i = 0; i < count; ++i) {
    RequestArrived request = make_request(prefixed_number("r", i), now);
    request.gateway_subset_size = i % 3 != 0 ? 1000 : -5;
    request.gateway_subset_start = i % 2 != 0 ? -7 : 900;
    request.units = i % 5 != 0 ? 1 : 0;
    request.customer = prefixed_number("c", i % 50);
    events.emplace_back(request);
  }
  return events;
}

// The number of final responses, rejections and failures, of each request.
std::map<std::string, int> final_answers(const std::vector<Action>& actions) {
  std::map<std::string, int> answers;
  for (const Reject& rejection : rejections(actions)) {
    ++answers[rejection.id];
  }
  for (const Fail& failure : failures(actions)) {
    ++answers[failure.id];
  }
  return answers;
}

TEST(Gateway, MalformedInputNeitherCrashesNorLosesRequests) {
  Settings settings = settings_with_counter();
  settings.gateway_count = 0;
  GatewayHarness gateway(settings);
  auto actions = gateway.handle(kSecond, malformed_requests(1000, kSecond));
  const auto sent = attempts(actions);
  ASSERT_FALSE(sent.empty());
  AttemptCompleted completed = make_completion(sent[0], {.duration = -5});
  completed.load.in_flight = 1e30;
  completed.load.queued = -3;
  append(actions,
         gateway.handle(kSecond + kMillisecond,
                        {completed, CounterReply{}, HealthCheckCompleted{}, EndpointListUpdate{}}));
  append(actions, gateway.run_timers(4 * kSecond));

  const auto answers = final_answers(actions);
  for (const auto& [id, count] : answers) {
    EXPECT_EQ(count, 1) << id;
  }
  std::set<std::string> forwarded;
  for (const SendAttempt& attempt : attempts(actions)) {
    forwarded.insert(attempt.id);
  }
  for (int i = 0; i < 1000; ++i) {
    const std::string id = prefixed_number("r", i);
    EXPECT_TRUE(answers.contains(id) || forwarded.contains(id)) << i;
  }
}

TEST(Gateway, RequestOfAnUnknownPlanAndClassIsServed) {
  GatewayHarness gateway;
  RequestArrived request = make_request("x", 0);
  request.plan = "no such plan";
  request.request_class = "no such class";
  request.gateway_subset_size = 0;
  EXPECT_EQ(attempts(gateway.handle(0, {request})).size(), 1U);
}

TEST(Gateway, LogStatesWhyRequestsWereRejected) {
  GatewayHarness gateway;
  gateway.count_admitted(kMillisecond, 25);  // five beyond the quota
  gateway.run_timers(12 * kSecond);
  std::string logged;
  for (const LogLine& line : actions_of<LogLine>(gateway.actions())) {
    if (line.text.rfind("rejected: ", 0) == 0) {
      logged += line.text;
    }
  }
  EXPECT_NE(logged.find("over slice 5 "), std::string::npos) << logged;
  EXPECT_NE(logged.find("over ceiling 0 "), std::string::npos) << logged;
  EXPECT_NE(logged.find("of 25 requests;"), std::string::npos) << logged;
}

TEST(Gateway, SameEventsGiveTheSameActions) {
  const auto forwarded_attempts = [] {
    GatewayHarness gateway;
    for (int i = 0; i < 50; ++i) {
      gateway.count_admitted(i * 30 * kMillisecond, 3);
    }
    gateway.run_timers(3 * kSecond);
    std::vector<std::string> forwarded;
    for (const SendAttempt& attempt : attempts(gateway.actions())) {
      forwarded.push_back(attempt.id + attempt.server);
    }
    return forwarded;
  };
  EXPECT_EQ(forwarded_attempts(), forwarded_attempts());
}

}  // namespace
}  // namespace quota_gateway::testing
