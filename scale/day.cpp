#include "day.hpp"

#include <algorithm>
#include <cstdio>
#include <random>
#include <stdexcept>
#include <tuple>

namespace quota_gateway::scale {
namespace {

constexpr double kHourS = 3600, kDayS = 24 * kHourS;

// One thing that befalls so many at once, before it is known whom it finds at work.
struct Incident {
  double at_s;
  Cause cause;
  std::uint32_t what;
};

class Drawing {
 public:
  Drawing(const Layout& layout, const DayOptions& options)
      : layout_(layout),
        options_(options),
        random_(options.seed),
        share_(options.target_rate_fraction > 0
                   ? options.target_rate_fraction
                   : double(layout.servers) / double(options.target.servers)),
        busy_until_(layout.servers) {}

  std::vector<Disturbance> run() {
    const Target& t = options_.target;
    incidents(Cause::kRestart, t.restarts_per_day * share_, layout_.servers);
    incidents(Cause::kMachine, t.failures_per_day * share_, layout_.machines());
    incidents(Cause::kRack, kRacksADay * share_, layout_.racks());
    // A zone and a region are as many in a small world; they do not get rarer with it.
    incidents(Cause::kZone, kZonesADay, layout_.zones);
    incidents(Cause::kRegion, kRegionCutsADay, layout_.regions);
    incidents(Cause::kConfiguration, t.config_changes_per_day * share_, 0);
    std::stable_sort(incidents_.begin(), incidents_.end(),
                     [](const Incident& a, const Incident& b) {
                       return std::tie(a.at_s, a.cause, a.what) < std::tie(b.at_s, b.cause, b.what);
                     });
    for (const Incident& i : incidents_) {
      take(i);
    }
    std::stable_sort(out_.begin(), out_.end(),
                     [](const Disturbance& a, const Disturbance& b) { return a.at < b.at; });
    return std::move(out_);
  }

 private:
  void incidents(Cause cause, double a_day, std::size_t of) {
    const double mean = a_day * options_.hours * kHourS / kDayS;
    if (mean <= 0 || (of == 0 && cause != Cause::kConfiguration)) {
      return;
    }
    const auto count = std::poisson_distribution<std::uint32_t>(mean)(random_);
    for (std::uint32_t i = 0; i < count; ++i) {
      const double at = std::uniform_real_distribution<>(0, options_.hours * kHourS)(random_);
      const auto what =
          of == 0 ? i
                  : std::uint32_t(std::uniform_int_distribution<std::size_t>(0, of - 1)(random_));
      incidents_.push_back({at, cause, what});
    }
  }

  void take(const Incident& i) {
    switch (i.cause) {
      case Cause::kRestart:
        return restart(i);
      case Cause::kMachine:
        return lose(i, kMachineAwayS, [&](std::size_t s) { return layout_.machine(s) == i.what; });
      case Cause::kRack:
        return lose(i, kRackAwayS, [&](std::size_t s) { return layout_.rack(s) == i.what; });
      case Cause::kZone:
        return lose(i, kZoneAwayS, [&](std::size_t s) { return layout_.zone(s) == i.what; });
      case Cause::kRegion:
        put(i.at_s, i.cause, Change::kCut, i.what);
        return put(i.at_s + kRegionCutS, i.cause, Change::kJoined, i.what);
      case Cause::kConfiguration:
        return put(i.at_s, i.cause, Change::kSettings, i.what);
    }
  }

  // Of the next server that is at work.
  void restart(const Incident& i) {
    for (std::size_t tried = 0; tried < layout_.servers; ++tried) {
      const std::size_t server = (i.what + tried) % layout_.servers;
      if (busy_until_[server] > i.at_s) {
        continue;
      }
      put(i.at_s, i.cause, Change::kDraining, server);
      put(i.at_s + kDrainS, i.cause, Change::kGone, server);
      put(i.at_s + kDrainS + kRestartS, i.cause, Change::kUp, server);
      busy_until_[server] = i.at_s + kDrainS + kRestartS;
      return;
    }
  }

  template <typename Hit>
  void lose(const Incident& i, double away_s, Hit hit) {
    for (std::size_t server = 0; server < layout_.servers; ++server) {
      if (!hit(server) || busy_until_[server] > i.at_s) {
        continue;
      }
      put(i.at_s, i.cause, Change::kGone, server);
      put(i.at_s + away_s, i.cause, Change::kUp, server);
      busy_until_[server] = i.at_s + away_s;
    }
  }

  void put(double at_s, Cause cause, Change change, std::size_t what) {
    out_.push_back({Micros(at_s * 1e6 / options_.compression), cause, change, std::uint32_t(what)});
  }

  const Layout& layout_;
  const DayOptions& options_;
  std::mt19937_64 random_;
  const double share_;
  std::vector<double> busy_until_;  // s of the day
  std::vector<Incident> incidents_;
  std::vector<Disturbance> out_;
};

}  // namespace

std::string server_id(std::size_t server) {
  char text[16];
  std::snprintf(text, sizeof text, "s-%08zx", server);
  return text;
}

std::string zone_name(std::size_t zone) {
  return std::string(1, char('a' + zone % 26));
}

std::vector<Disturbance> draw_day(const Layout& layout, const DayOptions& options) {
  if (layout.servers == 0 || layout.zones == 0 || layout.regions == 0 || options.hours <= 0 ||
      options.compression <= 0) {
    throw std::invalid_argument(
        "a day needs servers, zones, regions, hours and a compression above 0");
  }
  return Drawing(layout, options).run();
}

}  // namespace quota_gateway::scale
