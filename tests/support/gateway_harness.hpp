// Test support for the decision module (Gateway): default settings, functions that make events and
// select actions, and a harness that drives one Gateway through its public interface without a
// clock or a network. Used by the tests under tests/policy/.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::testing {

constexpr Micros kMillisecond = 1'000;
constexpr Micros kSecond = 1'000'000;

// Returns `prefix` followed by `number`, for example as the name of a request, customer or server.
std::string prefixed_number(std::string prefix, Micros number);

// ---- Settings

// Returns an idempotent request class "read": its latency objective is 0.5 s, its deadline 2 s.
ClassSettings read_class();

// Returns settings with one request class "read", one plan "plan" with a quota of 10 units per
// second and a burst of 20 units, two gateways, three attempts per request and no counter.
Settings basic_settings();

// Returns basic_settings() with a counter that all gateways share.
Settings settings_with_counter();

// Returns basic_settings() with a quota of 1,000,000 units per second, which no test uses up.
Settings settings_with_unlimited_quota();

// Sets the quota of the first plan: the rate in units per second and the burst in units.
void set_quota(Settings& settings, double rate, double burst);

// Sets the rate ceiling of the first plan: the rate in units per second and the burst in units.
void set_ceiling(Settings& settings, double rate, double burst);

// ---- Events

// Returns entries for servers that are up, all in the same zone and cell.
std::vector<EndpointEntry> make_endpoints(const std::vector<std::string>& names);

// Returns a partial list update: servers that it does not contain stay unchanged.
EndpointListUpdate partial_update(std::vector<EndpointEntry> entries);

// Returns a request of customer "c1" with plan "plan" and class "read". Its deadline is 2 s after
// `now`, and two gateways receive the customer's requests.
RequestArrived make_request(const std::string& id, Micros now, double units = 1);

// How an attempt ended, for make_completion().
struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  int attempt = 0;  // number of the attempt within its request, from 0
  Micros duration = kMillisecond;
};

// Returns the event that reports the end of `attempt`. If the attempt succeeded, the client has its
// final response.
AttemptCompleted make_completion(const SendAttempt& attempt, const AttemptResult& result = {});

// Returns the counter's reply to `call`. `total`: the customer's units over all gateways.
CounterReply make_counter_reply(const AddToCounter& call, double total,
                                Micros duration = kMillisecond);

// Returns the event for a call without a reply within `duration`: the counter may have added the
// amount or not.
CounterReply make_counter_timeout(const AddToCounter& call, Micros duration);

// ---- Actions

// Returns the actions of type T, in order.
template <typename T>
std::vector<T> actions_of(const std::vector<Action>& actions) {
  std::vector<T> matching;
  for (const Action& action : actions) {
    if (const T* match = std::get_if<T>(&action)) {
      matching.push_back(*match);
    }
  }
  return matching;
}

// Shorthands for actions_of().
std::vector<SendAttempt> attempts(const std::vector<Action>& actions);
std::vector<CancelAttempt> cancellations(const std::vector<Action>& actions);
std::vector<Reject> rejections(const std::vector<Action>& actions);
std::vector<Fail> failures(const std::vector<Action>& actions);
std::vector<AddToCounter> counter_calls(const std::vector<Action>& actions);

// Appends `more` to `actions`.
void append(std::vector<Action>& actions, const std::vector<Action>& more);

// ---- The harness

// How a server responds to one attempt.
struct ServerResponse {
  Outcome outcome = Outcome::kOk;
  Micros duration = kMillisecond;         // reported to the gateway
  Micros completes_after = kMillisecond;  // measured from the arrival of the request
};
// Decides how `server` responds to an attempt.
using ServerResponder = std::function<ServerResponse(const std::string& server)>;

// Drives one gateway and keeps its timers. The gateway receives a complete list with `endpoints` at
// time 0.
class GatewayHarness {
 public:
  explicit GatewayHarness(Settings settings = basic_settings(),
                          std::vector<EndpointEntry> endpoints = make_endpoints({"a", "b", "c"}),
                          std::uint64_t seed = 7);

  // Passes events that happened at `now` to the gateway and returns the resulting actions.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

  // Fires all timers that are due at or before `until`, in order of time, and returns the resulting
  // actions.
  std::vector<Action> run_timers(Micros until);

  // Passes a request made by make_request() to the gateway.
  std::vector<Action> receive_request(Micros now, const std::string& id, double units = 1);

  // Reports the end of an attempt to the gateway.
  std::vector<Action> complete(Micros now, const SendAttempt& attempt,
                               const AttemptResult& result = {});

  // Passes a request to the gateway at `now`. While the gateway sends attempts, `respond` decides
  // how the server responds to each, one after another.
  void serve_request(Micros now, const std::string& id, const ServerResponder& respond);

  // Passes `count` requests to the gateway one by one at `now` and immediately completes those that
  // the gateway forwards. Returns the number of forwarded requests.
  int count_admitted(Micros now, int count, double units = 1);

  // Returns all actions since construction.
  const std::vector<Action>& actions() const { return actions_; }

 private:
  Gateway gateway_;
  std::multimap<Micros, std::int64_t> timers_;  // tokens by the time at which they are due
  std::vector<Action> actions_;
};

}  // namespace quota_gateway::testing
