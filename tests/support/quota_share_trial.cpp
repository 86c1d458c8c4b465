#include "support/quota_share_trial.hpp"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace quota_gateway::testing {
namespace {

constexpr Micros kStart = 1000 * kSecond;
constexpr int kSeconds = 20;

class QuotaShareTrial {
 public:
  explicit QuotaShareTrial(const QuotaLoad& load) : load_(load), gateway_(settings_of(load)) {}

  QuotaShareResult run() {
    const int requests = int(kSeconds * load_.own_rate);
    int requested = 0;
    for (int i = 0; i < requests; ++i) {
      in_second_half_ = i >= requests / 2;
      counter_has_lost_totals_ = load_.counter_loses_totals && i > requests / 2;
      send_request(i);
      if (in_second_half_) {
        ++requested;
      }
    }
    return {double(forwarded_) / requested, calls_};
  }

 private:
  static Settings settings_of(const QuotaLoad& load) {
    Settings settings = settings_with_counter();
    settings.gateway_count = load.gateway_count;
    return settings;
  }

  void send_request(int number) {
    const Micros now = kStart + Micros(double(number) / load_.own_rate * double(kSecond));
    RequestArrived request = make_request(prefixed_number("p", number), now);
    request.gateway_subset_size = load_.gateway_count;
    auto actions = gateway_.handle(now, {request});
    append(actions, gateway_.run_timers(now + 1));
    // Replies of the counter append further actions.
    for (std::size_t k = 0; k < actions.size(); ++k) {
      const Action action = actions[k];
      if (const auto* call = std::get_if<AddToCounter>(&action)) {
        append(actions, gateway_.handle(now, {reply_to(*call, now)}));
      }
      if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
        if (in_second_half_) {
          ++forwarded_;
        }
        gateway_.complete(now, *attempt);
      }
    }
  }

  CounterReply reply_to(const AddToCounter& call, Micros now) {
    ++calls_;
    // Each key's total except the first starts one second before the key's first call.
    const Micros started_at = now - (started_at_.empty() ? 0 : kSecond);
    started_at_.try_emplace(call.key, started_at);
    double& added_here = added_here_[call.key];
    added_here += call.amount;
    const double elsewhere =
        load_.others_rate * double(now - started_at_[call.key]) / double(kSecond);
    CounterReply reply = make_counter_reply(call, added_here + elsewhere);
    if (now >= kStart + load_.fault_from * kSecond) {
      reply.outcome = load_.counter_fault;
    }
    if (counter_has_lost_totals_) {
      reply.total = 0.5 * call.amount;
    }
    return reply;
  }

  QuotaLoad load_;
  GatewayHarness gateway_;
  std::map<std::int64_t, double> added_here_;  // both maps: by counter key
  std::map<std::int64_t, Micros> started_at_;
  bool in_second_half_ = false;
  bool counter_has_lost_totals_ = false;
  int forwarded_ = 0;  // requests in the second half
  std::size_t calls_ = 0;
};

}  // namespace

QuotaShareResult run_quota_share_trial(const QuotaLoad& load) {
  return QuotaShareTrial(load).run();
}

}  // namespace quota_gateway::testing
