// Results: JSON lines for programs, a table for people, and lines fitted through slopes.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace quota_gateway::scale {

// One measured figure: at which sizes, and its value with its unit ("us", "MB", "bytes/s", ...).
struct Figure {
  std::string scenario, name;
  std::map<std::string, double> at;  // such as {"servers": 20000, "gateways": 7400}
  double value = 0;
  std::string unit;
};

// A line through measured points, value = fixed + each * size, and how well it holds.
struct Fit {
  std::string scenario, name, by, unit;
  std::map<std::string, double> at;  // what the points have in common, but for the size
  double fixed = 0, each = 0;
  double target = 0, value = 0;  // a size and the line's value there
  double extrapolated = 0;     // target over the largest size measured; at most 1: it was measured
  double deviation = 0;        // measured less fitted, where that is largest
  double deviation_at = 0;     // the size of that point
  double deviation_share = 0;  // of the value measured there
  std::size_t points = 0;
};
// By least squares; no points give a line of noughts.
Fit fit_line(const std::vector<std::pair<double, double>>& points, double target);

class Report {
 public:
  // Each figure is written to `lines` as one JSON object the moment it is known; null: nowhere.
  // `seed` repeats the run and is told with each.
  explicit Report(std::ostream* lines, std::uint64_t seed = 1) : lines_(lines), seed_(seed) {}
  void add(Figure figure);
  // Fits value = fixed + each * at[by] through the figures of that name by least squares; tells
  // both, the value at the target, how far that is extrapolated, and the largest deviation of a
  // point from the line. Figures that were taken at other values of anything else (`at` without
  // `by`) have a line of their own.
  void fit(const std::string& scenario, const std::string& name, const std::string& by,
           double target);
  // A sentence about the run that is no figure, such as a deviation that was seen.
  void note(const std::string& scenario, const std::string& text);
  void table(std::ostream& out) const;
  const std::vector<Figure>& figures() const { return figures_; }
  const std::vector<Fit>& fits() const { return fits_; }

 private:
  void line(const std::string& text);

  std::ostream* lines_;
  std::uint64_t seed_;
  std::vector<Figure> figures_;
  std::vector<Fit> fits_;
  std::vector<std::string> notes_;
};

}  // namespace quota_gateway::scale
