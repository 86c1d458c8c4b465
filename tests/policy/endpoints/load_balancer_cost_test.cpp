// Measures the processor time that a gateway needs for requests and list changes, and its memory,
// with endpoint lists of different sizes.
#include <gtest/gtest.h>
#include <malloc.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdio>
#include <ctime>
#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "quota_gateway/gateway.hpp"
#include "support/endpoint_lists.hpp"
#include "support/gateway_harness.hpp"
#include "util/hash.hpp"

namespace quota_gateway::testing {
namespace {

constexpr std::int64_t kPeriodicTimer = 0;  // token of the timer that is always set

double processor_time_us() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) * 1e-3;
}

double heap_bytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// One gateway that gets a request every 4 ms; servers respond after 20 ms.
class LoadedGateway {
 public:
  LoadedGateway(int gateway_count, int endpoint_count)
      : gateway_(fleet_settings(gateway_count), 7) {
    handle({complete_list(fleet_endpoints(0, endpoint_count))});
    for (int i = 0; i < 300; ++i) {
      request();
    }
  }

  // Returns the processor time per request, over `count` requests, in us. Includes the completions
  // and timers that are due between the requests.
  double cost_of_requests(int count) {
    const double before = processor_time_us();
    for (int i = 0; i < count; ++i) {
      request();
    }
    return (processor_time_us() - before) / count;
  }

  // Returns the processor time of one update of the list, in us.
  double cost_of_change(const std::vector<EndpointEntry>& entries) {
    const std::vector<Event> events{partial_update(entries)};
    const double before = processor_time_us();
    handle(events);
    return processor_time_us() - before;
  }

  void request() {
    now_ += 4 * kMillisecond;
    for (; !pending_.empty() && pending_.front().due_at <= now_; pending_.pop_front()) {
      handle({Event{AttemptCompleted{pending_.front().event}}});
    }
    if (periodic_timer_at_ <= now_) {
      handle({TimerFired{kPeriodicTimer}});
    }
    handle({next_arrival()});
  }

  Micros now() const { return now_; }
  int sent_count() const { return sent_count_; }
  int request_count() const { return request_count_; }

 private:
  struct PendingAnswer {
    Micros due_at = 0;
    AttemptCompleted event;
  };

  void handle(const std::vector<Event>& events) {
    actions_.clear();
    gateway_.handle(now_, events, actions_);
    for (const Action& action : actions_) {
      if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
        schedule_answer(*attempt);
      }
      const auto* timer = std::get_if<SetTimer>(&action);
      if (timer != nullptr && timer->token == kPeriodicTimer) {
        periodic_timer_at_ = timer->at;
      }
    }
  }

  void schedule_answer(const SendAttempt& attempt) {
    AttemptCompleted completed;
    completed.id = attempt.id;
    completed.server = attempt.server;
    completed.duration = 20 * kMillisecond;
    completed.request_answered = true;
    pending_.push_back({now_ + completed.duration, completed});
    ++sent_count_;
  }

  RequestArrived next_arrival() {
    ++request_count_;
    RequestArrived request;
    request.id = std::to_string(request_count_);
    request.customer = "c1";
    request.plan = "plan";
    request.request_class = "read";
    request.deadline = now_ + 2 * kSecond;
    return request;
  }

  Gateway gateway_;
  std::vector<Action> actions_;
  std::deque<PendingAnswer> pending_;
  Micros now_ = 0;
  Micros periodic_timer_at_ = 0;
  int sent_count_ = 0;
  int request_count_ = 0;
};

struct Cost {
  double min_us = 0;
  double ratio = 0;  // to the cost at the first list size; median over the rounds
};

// Compares the costs at several list sizes. `measure(gateway, endpoint_count, round)` returns a
// cost in us. The gateways take turns, and ratios are computed within a round, so that all of them
// are measured under the same load of the machine.
template <typename Measure>
std::vector<Cost> compare_costs(const std::vector<int>& endpoint_counts, int gateway_count,
                                const char* operation, Measure measure) {
  constexpr std::size_t kRounds = 61;
  std::vector<std::unique_ptr<LoadedGateway>> gateways;
  gateways.reserve(endpoint_counts.size());
  for (const int endpoint_count : endpoint_counts) {
    gateways.push_back(std::make_unique<LoadedGateway>(gateway_count, endpoint_count));
  }
  std::vector<std::vector<double>> costs(endpoint_counts.size());
  std::vector<std::vector<double>> ratios(endpoint_counts.size());
  for (std::size_t round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < endpoint_counts.size(); ++i) {
      costs[i].push_back(measure(*gateways[i], endpoint_counts[i], static_cast<int>(round)));
      ratios[i].push_back(costs[i].back() / costs[0].back());
    }
  }
  std::vector<Cost> result;
  for (std::size_t i = 0; i < endpoint_counts.size(); ++i) {
    const auto median = ratios[i].begin() + kRounds / 2;
    std::nth_element(ratios[i].begin(), median, ratios[i].end());
    result.push_back({*std::min_element(costs[i].begin(), costs[i].end()), *median});
    std::printf("%d gateways, %d endpoints: %.2f us per %s at minimum, ratio %.2f\n", gateway_count,
                endpoint_counts[i], result[i].min_us, operation, result[i].ratio);
    EXPECT_GE(gateways[i]->sent_count(), gateways[i]->request_count() * 9 / 10);
  }
  return result;
}

// Guards against a scan of the list for each request, which took 90 times as long at 20,000
// endpoints as at 200, and 2,000 times as long at 170,000.
TEST(LoadBalancerCost, CostPerRequestIsNearlyIndependentOfListSize) {
  for (const int gateway_count : {300, 7'400}) {
    const auto costs = compare_costs(
        {200, 2'000, 20'000, 170'000}, gateway_count, "request",
        [](LoadedGateway& gateway, int, int) { return gateway.cost_of_requests(200); });
    for (const Cost& cost : costs) {
      EXPECT_LE(cost.ratio, 2);
    }
  }
}

// Returns a change to a list of `endpoint_count` endpoints. `number` selects one of five kinds.
EndpointEntry change_of_list(int number, int endpoint_count, Micros now) {
  const auto random = mix(static_cast<std::uint64_t>(number));
  EndpointEntry entry =
      fleet_endpoint(static_cast<int>(random % static_cast<std::uint64_t>(endpoint_count)));
  switch (number % 5) {
    case 0:
      entry.state = EndpointState::kDraining;
      break;
    case 1:
      entry.state = EndpointState::kRemoved;
      break;
    case 2:
      entry.started_at = now;
      break;
    case 3:
      entry = fleet_endpoint(endpoint_count + number);
      break;
    default:
      break;  // it is up
  }
  return entry;
}

// Guards against sorting the ring again for each change, which took 4,000 times as long at 170,000
// endpoints as at 200.
TEST(LoadBalancerCost, CostPerChangeIsNearlyIndependentOfListSize) {
  constexpr int kChangesPerRound = 50;
  const auto costs = compare_costs(
      {200, 20'000, 170'000}, 7'400, "change",
      [](LoadedGateway& gateway, int endpoint_count, int round) {
        double sum = 0;
        for (int i = 0; i < kChangesPerRound; ++i) {
          const int number = round * kChangesPerRound + i;
          sum += gateway.cost_of_change({change_of_list(number, endpoint_count, gateway.now())});
          gateway.request();
        }
        return sum / kChangesPerRound;
      });
  for (const Cost& cost : costs) {
    EXPECT_LE(cost.ratio, 6);  // above 1, because a longer list is spread over more memory
  }
}

// When a zone is lost in many updates, the cost of each update must depend on the size of the
// update and not on the size of the list.
TEST(LoadBalancerCost, RemovingAZoneInManyUpdatesDoesNotDependOnListSize) {
  constexpr int kRemovedFromLarge = 24'000;
  constexpr int kRemovedFromBoth = 20'000;
  constexpr int kEndpointsPerUpdate = 300;
  for (const int gateway_count : {300, 7'400}) {
    LoadedGateway large(gateway_count, 170'000);
    LoadedGateway small(gateway_count, 24'000);
    double sum_large = 0;
    double sum_small = 0;
    double max_update_cost = 0;
    double sum_request_cost = 0;
    for (int first = 0; first < kRemovedFromLarge; first += kEndpointsPerUpdate) {
      const auto lost =
          fleet_endpoints(first, first + kEndpointsPerUpdate, EndpointState::kRemoved);
      const double cost = large.cost_of_change(lost);
      sum_large += cost;
      max_update_cost = std::max(max_update_cost, cost);
      sum_request_cost += large.cost_of_requests(1);
      if (first < kRemovedFromBoth) {
        sum_small += small.cost_of_change(lost);
      }
    }
    std::printf(
        "%d gateways: 24,000 endpoints removed in %.1f ms, slowest update %.2f ms, requests "
        "between updates %.2f ms\n",
        gateway_count, sum_large / 1e3, max_update_cost / 1e3, sum_request_cost / 1e3);
    EXPECT_LE(sum_large, 6 * sum_small);
  }
}

TEST(LoadBalancerCost, ListOf170000EndpointsFitsInMemoryLimitAndIsNotScannedForCounts) {
#if defined(__SANITIZE_ADDRESS__)
  GTEST_SKIP() << "the allocator of AddressSanitizer does not report the heap size";
#endif
  const double before = heap_bytes();
  const auto list =
      std::make_unique<EndpointListUpdate>(complete_list(fleet_endpoints(0, 170'000)));
  const double with_list = heap_bytes();
  Gateway gateway(fleet_settings(7'400), 7);
  std::vector<Action> actions;
  const double started = processor_time_us();
  gateway.handle(0, {*list}, actions);
  const double update_time = processor_time_us() - started;
  const double bytes = heap_bytes() - with_list;
  std::printf("170,000 endpoints: %.1f MB, applied in %.0f ms (the list itself %.1f MB)\n",
              bytes / 1e6, update_time / 1e3, (with_list - before) / 1e6);
  EXPECT_LE(bytes, 40e6);
  const double count_started = processor_time_us();
  int unavailable_endpoints = 0;
  for (int second = 1; second <= 500; ++second) {
    unavailable_endpoints += gateway.unavailable_endpoints();
    gateway.handle(second * kSecond, {TimerFired{kPeriodicTimer}}, actions);
  }
  EXPECT_EQ(unavailable_endpoints, 0);
  // A scan of the list for each of the 500 counts would take hundreds of times as long.
  EXPECT_LE(processor_time_us() - count_started, update_time);
}

}  // namespace
}  // namespace quota_gateway::testing
