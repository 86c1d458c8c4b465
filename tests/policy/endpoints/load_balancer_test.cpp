#include "policy/endpoints/load_balancer.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "quota_gateway/gateway.hpp"
#include "support/endpoint_lists.hpp"
#include "support/gateway_harness.hpp"
#include "util/random.hpp"

namespace quota_gateway::testing {
namespace {

using policy::LoadBalancer;

RequestArrived make_fleet_request(const std::string& id, const std::string& request_class,
                                  Micros deadline) {
  RequestArrived request;
  request.id = id;
  request.plan = "plan";
  request.request_class = request_class;
  request.deadline = deadline;
  return request;
}

// Runs a gateway with random changes of its list, complete lists, failures that enlarge its subset
// and settings that move its subset. Checks that each attempt goes to an endpoint that is up.
class ChangingFleet {
 public:
  explicit ChangingFleet(int gateway_count)
      : settings_(fleet_settings(gateway_count)), gateway_(settings_, 3) {
    gateway_.handle(0, {complete_list(record_states(fleet_endpoints(0, kEndpoints)))}, actions_);
  }

  void step(int number) {
    const Micros now = number * kInterval;
    std::vector<Event> events;
    // Drawn at each step, so that the random numbers of later steps do not depend on whether this
    // step uses the changes.
    std::vector<EndpointEntry> changes = random_changes(now);
    if (number % 500 == 0) {
      for (auto& [name, state] : states_) {
        state = EndpointState::kRemoved;
      }
      events.emplace_back(complete_list(record_states(fleet_endpoints(number / 50, 550))));
    } else {
      events.emplace_back(partial_update(record_states(std::move(changes))));
    }
    if (number % 700 == 0) {
      settings_.gateway_index += 5;
      events.emplace_back(SettingsChanged{settings_});
    }
    const std::string id = std::to_string(number);
    events.emplace_back(make_fleet_request(id, "read", now + 2 * kSecond));
    if (number % 50 == 0) {
      events.emplace_back(TimerFired{0});
    }
    for (int attempt = 0; !events.empty(); ++attempt) {
      actions_.clear();
      gateway_.handle(now, std::exchange(events, {}), actions_);
      for (const SendAttempt& sent : attempts(actions_)) {
        ASSERT_EQ(states_[sent.server], EndpointState::kUp) << sent.server;
        ++sent_count_;
        AttemptCompleted completed = complete(sent, attempt);
        if (completed.id == id) {
          events.emplace_back(std::move(completed));
        }
      }
    }
  }

  void remove_all(Micros now) { gateway_.handle(now, {EndpointListUpdate{}}, actions_); }

  const Gateway& gateway() const { return gateway_; }
  int sent_count() const { return sent_count_; }
  int draining_count() const {
    int count = 0;
    for (const auto& [name, state] : states_) {
      count += static_cast<int>(state == EndpointState::kDraining);
    }
    return count;
  }

  static constexpr Micros kInterval = 20 * kMillisecond;

 private:
  static constexpr int kEndpoints = 600;

  std::vector<EndpointEntry> record_states(std::vector<EndpointEntry> entries) {
    for (const EndpointEntry& entry : entries) {
      states_[entry.server] = entry.state;
    }
    return entries;
  }

  std::vector<EndpointEntry> random_changes(Micros now) {
    std::vector<EndpointEntry> changes;
    for (int i = 0; i < 4; ++i) {
      const double kind = uniform(random_);
      EndpointState state = EndpointState::kUp;
      if (kind < 0.1) {
        state = EndpointState::kDraining;
      } else if (kind < 0.2) {
        state = EndpointState::kRemoved;
      }
      changes.push_back(fleet_endpoint(static_cast<int>(uniform(random_) * kEndpoints), state));
      if (kind > 0.8) {
        changes.back().started_at = now;
      }
    }
    return changes;
  }

  // Returns the end of an attempt; three of ten attempts fail.
  AttemptCompleted complete(const SendAttempt& sent, int attempt) {
    AttemptCompleted completed;
    completed.id = sent.id;
    completed.server = sent.server;
    completed.attempt = attempt;
    completed.outcome = uniform(random_) < 0.3 ? Outcome::kConnectFailed : Outcome::kOk;
    completed.duration = 5 * kMillisecond;
    completed.request_answered = completed.outcome == Outcome::kOk;
    return completed;
  }

  Settings settings_;
  Gateway gateway_;
  std::map<std::string, EndpointState> states_;
  std::vector<Action> actions_;
  std::uint64_t random_ = 11;
  int sent_count_ = 0;
};

TEST(LoadBalancer, NoAttemptIsSentToADrainingOrRemovedEndpointWhileSubsetsMove) {
  for (const int gateway_count : {5, 60, 2'000}) {
    ChangingFleet fleet(gateway_count);
    for (int number = 1; number <= 3'000; ++number) {
      ASSERT_NO_FATAL_FAILURE(fleet.step(number));
    }
    EXPECT_GE(fleet.sent_count(), 3'000);
    EXPECT_GE(fleet.gateway().unavailable_endpoints(), fleet.draining_count());
    fleet.remove_all(3'100 * ChangingFleet::kInterval);
    EXPECT_EQ(fleet.gateway().unavailable_endpoints(), 0);
  }
}

TEST(LoadBalancer, OnlyEndpointsOfRecentSubsetsAreTracked) {
  Settings settings = fleet_settings(1'000);
  LoadBalancer load_balancer(settings, 1);
  load_balancer.update_endpoints(0, complete_list(fleet_endpoints(0, 10'000)));
  for (int second = 1; second < 600; ++second) {
    ++settings.gateway_index;
    load_balancer.on_settings_changed();
    load_balancer.on_period(second * kSecond);
    EXPECT_LE(load_balancer.tracked_endpoints(), 70U * 100);
    const std::size_t subset_size = load_balancer.subset(second * kSecond).size();
    ASSERT_LE(load_balancer.tracked_endpoints(), subset_size * 70);
  }
}

// Guards against an attempt that refers to an endpoint state that was already deleted: the endpoint
// is removed from the list minutes before the streamed response ends.
TEST(LoadBalancer, StreamedResponseMayEndAfterItsEndpointWasRemoved) {
  Gateway gateway(fleet_settings(1), 1);
  std::vector<Action> actions;
  gateway.handle(0, {complete_list(fleet_endpoints(0, 3))}, actions);
  gateway.handle(kMillisecond, {make_fleet_request("r", "once", 2 * kSecond)}, actions);
  std::string server;
  for (const SendAttempt& attempt : attempts(actions)) {
    server = attempt.server;
  }
  ASSERT_FALSE(server.empty());
  gateway.handle(2 * kMillisecond, {StreamStarted{"r", 0, server}}, actions);
  EndpointEntry removed;
  removed.server = server;
  removed.state = EndpointState::kRemoved;
  gateway.handle(3 * kMillisecond, {partial_update({removed})}, actions);
  for (int second = 1; second < 300; ++second) {
    gateway.handle(second * kSecond, {TimerFired{0}}, actions);
  }
  AttemptCompleted completed;
  completed.id = "r";
  completed.server = server;
  completed.outcome = Outcome::kReset;
  completed.duration = 300 * kSecond;
  completed.request_answered = true;
  actions.clear();
  gateway.handle(300 * kSecond, {completed}, actions);
  for (const Action& action : actions) {
    EXPECT_FALSE(std::holds_alternative<SendAttempt>(action));
  }
}

}  // namespace
}  // namespace quota_gateway::testing
