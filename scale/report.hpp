// Results of a run: each figure as a JSON line for programs, all of them as a table for people, and
// lines fitted through the figures of a slope. Owned by the program's run; scenarios add to it,
// from its thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace quota_gateway::scale {

// The sizes at which something was measured, by name, such as {"servers": 20000, "gateways": 7400}.
using MeasuredSizes = std::map<std::string, double>;

struct Measurement {
  std::string scenario;
  std::string name;
  MeasuredSizes at;
  double value = 0;
  std::string unit;  // of the value, such as "us", "MB" or "bytes/s"
};

// A value that was measured at a size.
struct Point {
  double size = 0;
  double value = 0;
};

// A line through measured points, value = intercept + slope * size, and how well it holds.
struct Fit {
  std::string scenario;
  std::string name;
  std::string size_name;  // the key of MeasuredSizes that the line runs along
  std::string unit;
  MeasuredSizes at;  // what the points have in common, without the size itself
  double intercept = 0;
  double slope = 0;
  double target = 0;        // a size that is asked for
  double target_value = 0;  // the line's value there
  // The target over the largest size measured. Up to 1, the target lies among the measured sizes.
  double extrapolation = 0;
  double deviation = 0;           // measured less fitted, at the point where that is largest
  double deviation_at = 0;        // the size of that point
  double deviation_fraction = 0;  // the deviation over the value measured there
  std::size_t points = 0;
};

// The line by least squares. Points of one size only give a slope of 0, no points a line of zeros.
Fit fit_line(const std::vector<Point>& points, double target);

class Report {
 public:
  // Each measurement, fit and note is written to `lines` as one JSON object the moment it is known;
  // with null it is not written. `lines` must outlive the report. `seed` repeats the run and is
  // written with each.
  explicit Report(std::ostream* lines, std::uint64_t seed = 1) : lines_(lines), seed_(seed) {}

  void add(Measurement measurement);
  // Fits a line over at[size_name] through the figures of that name; reports the line, its value at
  // the target and how well it holds. Figures that differ in anything else of `at` have lines of
  // their own. Where there are no such figures, a note says so.
  void fit(const std::string& scenario, const std::string& name, const std::string& size_name,
           double target);
  // A sentence about the run that is no measurement, such as a deviation that was seen.
  void note(const std::string& scenario, const std::string& text);

  // Writes all figures, fits and notes so far as aligned tables.
  void table(std::ostream& out) const;

  const std::vector<Measurement>& measurements() const { return measurements_; }
  const std::vector<Fit>& fits() const { return fits_; }

 private:
  void write_line(const std::string& text);
  void write_fit(const Fit& fit);

  std::ostream* lines_;
  std::uint64_t seed_;
  std::vector<Measurement> measurements_;
  std::vector<Fit> fits_;
  std::vector<std::string> notes_;
};

}  // namespace quota_gateway::scale
