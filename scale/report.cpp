#include "report.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <utility>

namespace quota_gateway::scale {
namespace {

using nlohmann::json;

std::string number(double value) {
  std::ostringstream out;
  out << std::setprecision(4) << value;
  if (out.str().find('e') == std::string::npos) {
    return out.str();
  }
  out.str("");
  out << std::fixed << std::setprecision(0) << value;
  return std::abs(value) >= 1 ? out.str()
                              : (out.str(""), out << std::scientific << value, out.str());
}

std::string places(const std::map<std::string, double>& at) {
  std::string text;
  for (const auto& [key, value] : at) {
    text += (text.empty() ? "" : ", ") + key + " " + number(value);
  }
  return text;
}

json named(const std::string& scenario, const char* kind, const std::string& name,
           std::uint64_t seed) {
  return {{"scenario", scenario}, {kind, name}, {"seed", seed}};
}

// The least-squares line through (x, y); its slope is 0 where all x are one.
std::pair<double, double> line_through(const std::vector<std::pair<double, double>>& points) {
  const double n = double(points.size());
  double mx = 0;
  double my = 0;
  double sxx = 0;
  double sxy = 0;
  for (const auto& [x, y] : points) {
    mx += x / n, my += y / n;
  }
  for (const auto& [x, y] : points) {
    sxx += (x - mx) * (x - mx), sxy += (x - mx) * (y - my);
  }
  const double each = sxx > 0 ? sxy / sxx : 0;
  return {my - each * mx, each};
}

}  // namespace

Fit fit_line(const std::vector<std::pair<double, double>>& points, double target) {
  Fit fit;
  fit.points = points.size();
  fit.target = target;
  std::tie(fit.fixed, fit.each) = line_through(points);
  fit.value = fit.fixed + fit.each * target;
  double largest = 0;
  for (const auto& [x, y] : points) {
    largest = std::max(largest, x);
    const double off = y - (fit.fixed + fit.each * x);
    if (std::abs(off) < std::abs(fit.deviation)) {
      continue;
    }
    fit.deviation = off;
    fit.deviation_at = x;
    fit.deviation_share = y != 0 ? off / y : 0;
  }
  fit.extrapolated = largest > 0 ? target / largest : 0;
  return fit;
}

void Report::line(const std::string& text) {
  if (lines_) {
    *lines_ << text << '\n' << std::flush;
  }
}

void Report::add(Figure figure) {
  json out = named(figure.scenario, "name", figure.name, seed_);
  out["at"] = figure.at;
  out["value"] = figure.value;
  out["unit"] = figure.unit;
  line(out.dump());
  figures_.push_back(std::move(figure));
}

void Report::fit(const std::string& scenario, const std::string& name, const std::string& by,
                 double target) {
  std::map<std::map<std::string, double>, std::vector<std::pair<double, double>>> groups;
  std::string unit;
  for (const Figure& f : figures_) {
    if (f.scenario != scenario || f.name != name || !f.at.contains(by)) {
      continue;
    }
    auto rest = f.at;
    rest.erase(by);
    groups[rest].emplace_back(f.at.at(by), f.value);
    unit = f.unit;
  }
  if (groups.empty()) {
    note(scenario, "no figures to fit " + name + " by " + by);
  }
  for (const auto& [rest, points] : groups) {
    Fit fit = fit_line(points, target);
    fit.scenario = scenario;
    fit.name = name;
    fit.by = by;
    fit.unit = unit;
    fit.at = rest;
    json out = named(scenario, "fit", name, seed_);
    out.update({{"by", by}, {"at", rest}, {"unit", unit}, {"points", fit.points}});
    out.update(
        {{"fixed", fit.fixed}, {"each", fit.each}, {"target", target}, {"value", fit.value}});
    out.update({{"extrapolated", fit.extrapolated},
                {"deviation", fit.deviation},
                {"deviation_at", fit.deviation_at},
                {"deviation_share", fit.deviation_share}});
    line(out.dump());
    fits_.push_back(std::move(fit));
  }
}

void Report::note(const std::string& scenario, const std::string& text) {
  line(named(scenario, "note", text, seed_).dump());
  notes_.push_back(scenario + ": " + text);
}

void Report::table(std::ostream& out) const {
  using Row = std::vector<std::string>;
  const auto print = [&out](const std::vector<Row>& rows) {
    if (rows.size() < 2) {
      return;
    }
    Row empty(rows[0].size());
    std::vector<std::size_t> widths(rows[0].size());
    for (const Row& row : rows) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
      }
    }
    for (const Row& row : rows) {
      std::ostringstream text;  // names to the left, numbers to the right
      for (std::size_t i = 0; i < row.size(); ++i) {
        text << (i > 0 ? "  " : "") << (i < 3 ? std::left : std::right) << std::setw(int(widths[i]))
             << row[i];
      }
      std::string line = text.str();
      line.erase(line.find_last_not_of(' ') + 1);
      out << line << '\n';
    }
    out << '\n';
  };
  std::vector<Row> rows = {{"scenario", "figure", "at", "value", "unit"}};
  for (const Figure& f : figures_) {
    rows.push_back({f.scenario, f.name, places(f.at), number(f.value), f.unit});
  }
  print(rows);
  rows = {{"scenario", "fitted", "at", "by", "fixed", "each", "target", "there", "unit",
           "extrapolated", "deviates", "of it"}};
  for (const Fit& f : fits_) {
    rows.push_back({f.scenario, f.name, places(f.at), f.by, number(f.fixed), number(f.each),
                    number(f.target), number(f.value), f.unit, number(f.extrapolated) + "x",
                    number(f.deviation) + " at " + number(f.deviation_at),
                    number(std::round(100 * f.deviation_share)) + "%"});
  }
  print(rows);
  for (const std::string& note : notes_) {
    out << note << '\n';
  }
}

}  // namespace quota_gateway::scale
