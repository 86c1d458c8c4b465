#include "net/upstream/load_report_parser.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace quota_gateway::net {
namespace {

constexpr std::string_view kTextFormatPrefix = "TEXT ";

// A name in a load report, the LoadReport field that it sets, and the maximum plausible value.
struct LoadField {
  std::string_view name;
  std::optional<double> LoadReport::*field;
  double max;
};

constexpr std::array<LoadField, 12> kLoadFields{{{"inflight", &LoadReport::in_flight, 1e5},
                                                 {"active", &LoadReport::in_flight, 1e5},
                                                 {"queue", &LoadReport::queued, 1e5},
                                                 {"waiting", &LoadReport::queued, 1e5},
                                                 {"util", &LoadReport::cpu, 100},
                                                 {"cpu", &LoadReport::cpu, 100},
                                                 {"latency_ms", &LoadReport::service_ms, 1e7},
                                                 {"avg_ms", &LoadReport::service_ms, 1e7},
                                                 {"qps", &LoadReport::served_per_s, 1e7},
                                                 {"rps", &LoadReport::served_per_s, 1e7},
                                                 {"eps", &LoadReport::errors_per_s, 1e7},
                                                 {"err_rps", &LoadReport::errors_per_s, 1e7}}};

const LoadField* find_load_field(std::string_view name) {
  for (const LoadField& field : kLoadFields) {
    if (field.name == name) {
      return &field;
    }
  }
  return nullptr;
}

// Removes the first entry of a comma-separated list and returns the entry without leading spaces.
std::string_view take_entry(std::string_view& list) {
  const std::size_t comma = std::min(list.find(','), list.size());
  std::string_view entry = list.substr(0, comma);
  list.remove_prefix(std::min(comma + 1, list.size()));
  entry.remove_prefix(std::min(entry.find_first_not_of(' '), entry.size()));
  return entry;
}

}  // namespace

std::optional<double> parse_bounded_number(std::string_view text, double max) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  const bool is_number = error == std::errc() && stop == end;
  // False for NaN as well.
  const bool is_plausible = value >= 0 && value <= max;
  if (!is_number || !is_plausible) {
    return std::nullopt;
  }
  return value;
}

LoadReport parse_load_report(std::string_view text) {
  LoadReport report;
  if (text.substr(0, kTextFormatPrefix.size()) == kTextFormatPrefix) {
    text.remove_prefix(kTextFormatPrefix.size());
  }
  while (!text.empty()) {
    std::string_view entry = take_entry(text);
    const std::size_t equals = std::min(entry.find('='), entry.size());
    const LoadField* const known = find_load_field(entry.substr(0, equals));
    if (known == nullptr) {
      continue;
    }
    entry.remove_prefix(std::min(equals + 1, entry.size()));
    const std::optional<double> value = parse_bounded_number(entry, known->max);
    if (!value) {
      return {};
    }
    report.*known->field = value;
  }
  return report;
}

}  // namespace quota_gateway::net
