// Drives one decision module (Gateway) through its public events and actions, with no clock and no
// network: settings and events to start from, and a harness that keeps the gateway's timers. Used
// by the tests under tests/policy/.
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

// `prefix` followed by `number`: names of requests, customers and servers.
std::string prefixed_number(std::string prefix, Micros number);

// ---- Settings

// An idempotent class "read": answered within 0.5 s at best, given up by the client after 2 s.
ClassSettings read_class();

// One class "read"; one plan "plan" with 10 units a second and 20 at once; two gateways, three
// attempts a request, no counter.
Settings basic_settings();

// basic_settings() with a counter that all gateways share.
Settings settings_with_counter();

// basic_settings() with a quota that no test reaches.
Settings settings_with_unlimited_quota();

// Sets the quota of the only plan: units a second, and units at once.
void set_quota(Settings& settings, double rate, double burst);

// Sets the rate ceiling of the only plan: units a second, and units at once.
void set_ceiling(Settings& settings, double rate, double burst);

// ---- Events

// Endpoints that serve, all of one zone and one cell.
std::vector<EndpointEntry> make_endpoints(const std::vector<std::string>& names);

// A change of the listed endpoints; the others stay as they are.
EndpointListUpdate partial_update(std::vector<EndpointEntry> entries);

// A request of customer "c1" in class "read" that may come through two gateways, with 2 s left.
RequestArrived make_request(const std::string& id, Micros now, double units = 1);

// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kOk;
  int attempt = 0;  // 0: the request's first
  Micros duration = kMillisecond;
};

// The end of an attempt. An attempt that succeeded has answered its request.
AttemptCompleted make_completion(const SendAttempt& attempt, const AttemptResult& result = {});

// The counter's reply to `call`: the customer's units of all gateways together.
CounterReply make_counter_reply(const AddToCounter& call, double total,
                                Micros duration = kMillisecond);

// No reply to `call` within `duration`: it may have been added or not.
CounterReply make_counter_timeout(const AddToCounter& call, Micros duration);

// ---- Actions

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

std::vector<SendAttempt> attempts(const std::vector<Action>& actions);
std::vector<CancelAttempt> cancellations(const std::vector<Action>& actions);
std::vector<Reject> rejections(const std::vector<Action>& actions);
std::vector<Fail> failures(const std::vector<Action>& actions);
std::vector<AddToCounter> counter_calls(const std::vector<Action>& actions);

void append(std::vector<Action>& actions, const std::vector<Action>& more);

// ---- The harness

// How a server answers one attempt.
struct ServerResponse {
  Outcome outcome = Outcome::kOk;
  Micros duration = kMillisecond;         // as the gateway is told
  Micros completes_after = kMillisecond;  // from the arrival of the request
};
using ServerResponder = std::function<ServerResponse(const std::string& server)>;

// One gateway, which has received its endpoint list at time 0.
class GatewayHarness {
 public:
  explicit GatewayHarness(Settings settings = basic_settings(),
                          std::vector<EndpointEntry> endpoints = make_endpoints({"a", "b", "c"}),
                          std::uint64_t seed = 7);

  // Hands over events that happened at `now`; what the gateway does at once.
  std::vector<Action> handle(Micros now, const std::vector<Event>& events);

  // Fires the timers that are due up to and at `until`, in order; what the gateway does meanwhile.
  std::vector<Action> run_timers(Micros until);

  // A request of make_request() arrives.
  std::vector<Action> receive_request(Micros now, const std::string& id, double units = 1);

  // The attempt ends.
  std::vector<Action> complete(Micros now, const SendAttempt& attempt,
                               const AttemptResult& result = {});

  // A request arrives at `now`; `respond` answers its attempts one after another until none
  // follows.
  void serve_request(Micros now, const std::string& id, const ServerResponder& respond);

  // Sends `count` requests one by one and answers each that is forwarded at the same instant; how
  // many were forwarded.
  int count_admitted(Micros now, int count, double units = 1);

  // All actions since the start.
  const std::vector<Action>& actions() const { return actions_; }

 private:
  Gateway gateway_;
  std::multimap<Micros, std::int64_t> timers_;  // tokens by the instant they are due
  std::vector<Action> actions_;
};

}  // namespace quota_gateway::testing
