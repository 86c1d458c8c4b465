#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <ios>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <utility>

namespace quota_gateway::scale {
namespace {

using nlohmann::json;
using TableRow = std::vector<std::string>;

constexpr int kTableDigits = 4;
// The leftmost columns hold names and are aligned to the left; the other columns hold numbers and
// are aligned to the right.
constexpr std::size_t kNameColumns = 3;

// Formats a number with four significant digits. A number that would need an exponent is rounded to
// an integer; below 1, it keeps the exponent.
std::string format_number(double value) {
  std::ostringstream shortest;
  shortest << std::setprecision(kTableDigits) << value;
  if (shortest.str().find('e') == std::string::npos) {
    return shortest.str();
  }
  std::ostringstream text;
  text << std::setprecision(0);
  if (std::abs(value) >= 1) {
    text << std::fixed << value;
  } else {
    text << std::scientific << value;
  }
  return text.str();
}

std::string format_sizes(const MeasuredSizes& sizes) {
  std::string text;
  for (const auto& [key, value] : sizes) {
    if (!text.empty()) {
      text += ", ";
    }
    text += key + " " + format_number(value);
  }
  return text;
}

json json_line(const std::string& scenario, const char* kind, const std::string& name,
               std::uint64_t seed) {
  return {{"scenario", scenario}, {kind, name}, {"seed", seed}};
}

struct Line {
  double intercept = 0;
  double slope = 0;
};

// Fits a line by least squares; the slope is 0 if all sizes are equal.
Line line_through(const std::vector<Point>& points) {
  const auto count = double(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const Point& point : points) {
    mean_size += point.size / count;
    mean_value += point.value / count;
  }
  double size_variance = 0;
  double covariance = 0;
  for (const Point& point : points) {
    const double size_offset = point.size - mean_size;
    size_variance += size_offset * size_offset;
    covariance += size_offset * (point.value - mean_value);
  }
  const double slope = size_variance > 0 ? covariance / size_variance : 0;
  return {mean_value - slope * mean_size, slope};
}

std::vector<std::size_t> column_widths(const std::vector<TableRow>& rows) {
  std::vector<std::size_t> widths(rows.front().size());
  for (const TableRow& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

std::string format_row(const TableRow& row, const std::vector<std::size_t>& widths) {
  std::ostringstream text;
  for (std::size_t i = 0; i < row.size(); ++i) {
    text << (i > 0 ? "  " : "") << (i < kNameColumns ? std::left : std::right)
         << std::setw(int(widths[i])) << row[i];
  }
  std::string line = text.str();
  line.erase(line.find_last_not_of(' ') + 1);
  return line;
}

// The first row is the header. A table without other rows is not printed.
void print_table(std::ostream& out, const std::vector<TableRow>& rows) {
  if (rows.size() < 2) {
    return;
  }
  const std::vector<std::size_t> widths = column_widths(rows);
  for (const TableRow& row : rows) {
    out << format_row(row, widths) << '\n';
  }
  out << '\n';
}

TableRow table_row(const Measurement& measurement) {
  return {measurement.scenario, measurement.name, format_sizes(measurement.at),
          format_number(measurement.value), measurement.unit};
}

TableRow table_row(const Fit& fit) {
  const std::string deviation =
      format_number(fit.deviation) + " at " + format_number(fit.deviation_at);
  return {fit.scenario,
          fit.name,
          format_sizes(fit.at),
          fit.size_name,
          format_number(fit.intercept),
          format_number(fit.slope),
          format_number(fit.target),
          format_number(fit.target_value),
          fit.unit,
          format_number(fit.extrapolation) + "x",
          deviation,
          format_number(std::round(100 * fit.deviation_fraction)) + "%"};
}

}  // namespace

Fit fit_line(const std::vector<Point>& points, double target) {
  const Line line = line_through(points);
  Fit fit;
  fit.points = points.size();
  fit.intercept = line.intercept;
  fit.slope = line.slope;
  fit.target = target;
  fit.target_value = line.intercept + line.slope * target;
  double largest_size = 0;
  for (const Point& point : points) {
    largest_size = std::max(largest_size, point.size);
    const double deviation = point.value - (line.intercept + line.slope * point.size);
    if (std::abs(deviation) < std::abs(fit.deviation)) {
      continue;
    }
    fit.deviation = deviation;
    fit.deviation_at = point.size;
    fit.deviation_fraction = point.value != 0 ? deviation / point.value : 0;
  }
  fit.extrapolation = largest_size > 0 ? target / largest_size : 0;
  return fit;
}

void Report::write_line(const std::string& text) {
  if (lines_ == nullptr) {
    return;
  }
  // Flushed, so that a run that is terminated early has written all of its measurements.
  *lines_ << text << '\n' << std::flush;
}

void Report::add(Measurement measurement) {
  json out = json_line(measurement.scenario, "name", measurement.name, seed_);
  out["at"] = measurement.at;
  out["value"] = measurement.value;
  out["unit"] = measurement.unit;
  write_line(out.dump());
  measurements_.push_back(std::move(measurement));
}

void Report::fit(const std::string& scenario, const std::string& name, const std::string& size_name,
                 double target) {
  std::map<MeasuredSizes, std::vector<Point>> points_by_other_sizes;
  std::string unit;
  for (const Measurement& measurement : measurements_) {
    if (measurement.scenario != scenario || measurement.name != name ||
        !measurement.at.contains(size_name)) {
      continue;
    }
    MeasuredSizes other_sizes = measurement.at;
    other_sizes.erase(size_name);
    points_by_other_sizes[other_sizes].push_back({measurement.at.at(size_name), measurement.value});
    unit = measurement.unit;
  }
  if (points_by_other_sizes.empty()) {
    note(scenario, "no measurements to fit " + name + " by " + size_name);
  }
  for (const auto& [other_sizes, points] : points_by_other_sizes) {
    Fit fit = fit_line(points, target);
    fit.scenario = scenario;
    fit.name = name;
    fit.size_name = size_name;
    fit.unit = unit;
    fit.at = other_sizes;
    write_fit(fit);
    fits_.push_back(std::move(fit));
  }
}

void Report::write_fit(const Fit& fit) {
  json out = json_line(fit.scenario, "fit", fit.name, seed_);
  out["by"] = fit.size_name;
  out["at"] = fit.at;
  out["unit"] = fit.unit;
  out["points"] = fit.points;
  out["fixed"] = fit.intercept;
  out["each"] = fit.slope;
  out["target"] = fit.target;
  out["value"] = fit.target_value;
  out["extrapolated"] = fit.extrapolation;
  out["deviation"] = fit.deviation;
  out["deviation_at"] = fit.deviation_at;
  out["deviation_share"] = fit.deviation_fraction;
  write_line(out.dump());
}

void Report::note(const std::string& scenario, const std::string& text) {
  write_line(json_line(scenario, "note", text, seed_).dump());
  notes_.push_back(scenario + ": " + text);
}

void Report::table(std::ostream& out) const {
  std::vector<TableRow> measurement_rows = {{"scenario", "figure", "at", "value", "unit"}};
  for (const Measurement& measurement : measurements_) {
    measurement_rows.push_back(table_row(measurement));
  }
  print_table(out, measurement_rows);
  std::vector<TableRow> fit_rows = {{"scenario", "fitted", "at", "by", "fixed", "each", "target",
                                     "there", "unit", "extrapolated", "deviates", "of it"}};
  for (const Fit& fit : fits_) {
    fit_rows.push_back(table_row(fit));
  }
  print_table(out, fit_rows);
  for (const std::string& note : notes_) {
    out << note << '\n';
  }
}

}  // namespace quota_gateway::scale
