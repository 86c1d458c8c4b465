#include "disruptions.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <random>
#include <stdexcept>
#include <tuple>
#include <utility>

namespace quota_gateway::scale {
namespace {

constexpr double kSecondsPerHour = 3600;
constexpr double kSecondsPerDay = 24 * kSecondsPerHour;
constexpr double kMicrosPerSecond = 1e6;

// The rates and durations below are assumptions, because the operators' pages give no numbers;
// docs/CAPACITY.md lists them as such.
// The operators say "most days", of racks or switches.
constexpr double kRackFailuresPerDay = 0.7;
// The operators say "a few times a year".
constexpr double kZoneFailuresPerDay = 3.0 / 365;
// The operators say "now and then".
constexpr double kRegionCutsPerDay = 1.0 / 30;
constexpr double kDrainS = 30;
constexpr double kRestartS = 20;
constexpr double kMachineDownS = 1200;
constexpr double kRackDownS = 1800;
constexpr double kZoneDownS = 3600;

// A restart, a failure or a change, before the affected servers are determined.
struct Incident {
  double at_s = 0;
  Cause cause = Cause::kRestart;
  // For a restart the first candidate; otherwise the machine, rack, zone or region, or the number
  // of the changed settings.
  std::uint32_t subject = 0;
};

bool is_earlier(const Incident& left, const Incident& right) {
  return std::tie(left.at_s, left.cause, left.subject) <
         std::tie(right.at_s, right.cause, right.subject);
}

// Draws all incidents, then applies them in chronological order.
class DisruptionGenerator {
 public:
  DisruptionGenerator(const Layout& layout, const DisruptionOptions& options)
      : layout_(layout), options_(options), random_(options.seed), busy_until_s_(layout.servers) {}

  std::vector<Disruption> generate() {
    draw_all_incidents();
    std::stable_sort(incidents_.begin(), incidents_.end(), is_earlier);
    for (const Incident& incident : incidents_) {
      apply(incident);
    }
    std::stable_sort(
        disruptions_.begin(), disruptions_.end(),
        [](const Disruption& left, const Disruption& right) { return left.at < right.at; });
    return std::move(disruptions_);
  }

 private:
  double rate_fraction() const {
    return options_.target_rate_fraction > 0
               ? options_.target_rate_fraction
               : double(layout_.servers) / double(options_.target.servers);
  }

  void draw_all_incidents() {
    const Target& target = options_.target;
    const double fraction = rate_fraction();
    draw_incidents(Cause::kRestart, target.restarts_per_day * fraction, layout_.servers);
    draw_incidents(Cause::kMachine, target.failures_per_day * fraction, layout_.machines());
    draw_incidents(Cause::kRack, kRackFailuresPerDay * fraction, layout_.racks());
    // Not reduced for a small layout, which has as many zones and regions as the target.
    draw_incidents(Cause::kZone, kZoneFailuresPerDay, layout_.zones);
    draw_incidents(Cause::kRegion, kRegionCutsPerDay, layout_.regions);
    draw_configuration_changes(target.config_changes_per_day * fraction);
  }

  std::uint32_t draw_count(double per_day) {
    const double mean = per_day * options_.hours * kSecondsPerHour / kSecondsPerDay;
    return mean > 0 ? std::poisson_distribution<std::uint32_t>(mean)(random_) : 0;
  }
  double draw_time_s() {
    return std::uniform_real_distribution<>(0, options_.hours * kSecondsPerHour)(random_);
  }

  void draw_incidents(Cause cause, double per_day, std::size_t subjects) {
    if (subjects == 0) {
      return;
    }
    const std::uint32_t count = draw_count(per_day);
    for (std::uint32_t i = 0; i < count; ++i) {
      const double at_s = draw_time_s();
      const auto subject = std::uniform_int_distribution<std::size_t>(0, subjects - 1)(random_);
      incidents_.push_back({at_s, cause, std::uint32_t(subject)});
    }
  }

  void draw_configuration_changes(double per_day) {
    const std::uint32_t count = draw_count(per_day);
    for (std::uint32_t i = 0; i < count; ++i) {
      incidents_.push_back({draw_time_s(), Cause::kConfiguration, i});
    }
  }

  void apply(const Incident& incident) {
    const std::size_t subject = incident.subject;
    switch (incident.cause) {
      case Cause::kRestart:
        restart(incident);
        break;
      case Cause::kMachine:
        fail_servers(incident, kMachineDownS, [this, subject](std::size_t server) {
          return layout_.machine(server) == subject;
        });
        break;
      case Cause::kRack:
        fail_servers(incident, kRackDownS, [this, subject](std::size_t server) {
          return layout_.rack(server) == subject;
        });
        break;
      case Cause::kZone:
        fail_servers(incident, kZoneDownS, [this, subject](std::size_t server) {
          return layout_.zone(server) == subject;
        });
        break;
      case Cause::kRegion:
        add(incident, 0, Change::kRegionCut, subject);
        add(incident, kRegionCutS, Change::kRegionRejoined, subject);
        break;
      case Cause::kConfiguration:
        add(incident, 0, Change::kSettingsChanged, subject);
        break;
    }
  }

  // Restarts the first server, from the drawn one on, that is neither down nor draining.
  void restart(const Incident& incident) {
    for (std::size_t i = 0; i < layout_.servers; ++i) {
      const std::size_t server = (incident.subject + i) % layout_.servers;
      if (busy_until_s_[server] > incident.at_s) {
        continue;
      }
      add(incident, 0, Change::kDraining, server);
      add(incident, kDrainS, Change::kDown, server);
      add(incident, kDrainS + kRestartS, Change::kUp, server);
      busy_until_s_[server] = incident.at_s + kDrainS + kRestartS;
      return;
    }
  }

  void fail_servers(const Incident& incident, double down_s,
                    const std::function<bool(std::size_t server)>& is_affected) {
    for (std::size_t server = 0; server < layout_.servers; ++server) {
      if (!is_affected(server) || busy_until_s_[server] > incident.at_s) {
        continue;
      }
      add(incident, 0, Change::kDown, server);
      add(incident, down_s, Change::kUp, server);
      busy_until_s_[server] = incident.at_s + down_s;
    }
  }

  void add(const Incident& incident, double after_s, Change change, std::size_t subject) {
    const double at_s = incident.at_s + after_s;
    disruptions_.push_back({Micros(at_s * kMicrosPerSecond / options_.compression), incident.cause,
                            change, std::uint32_t(subject)});
  }

  const Layout& layout_;
  const DisruptionOptions& options_;
  std::mt19937_64 random_;
  // By server, the second of the period until which the server is down or draining.
  std::vector<double> busy_until_s_;
  std::vector<Incident> incidents_;
  std::vector<Disruption> disruptions_;
};

}  // namespace

std::vector<Disruption> draw_disruptions(const Layout& layout, const DisruptionOptions& options) {
  const bool has_layout = layout.servers > 0 && layout.zones > 0 && layout.regions > 0;
  if (!has_layout || options.hours <= 0 || options.compression <= 0) {
    throw std::invalid_argument(
        "drawing disruptions needs servers, zones, regions, hours and a compression above 0");
  }
  return DisruptionGenerator(layout, options).generate();
}

}  // namespace quota_gateway::scale
