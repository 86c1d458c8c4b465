// Results of a run: each measurement as a JSON line for programs, all of them as tables for people,
// and lines fitted through the measurements of a slope. Owned by the program's run; scenarios add
// to it from the run's thread only.
#pragma once

#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace quota_gateway::scale {

// The sizes at which a value was measured, by name, such as {"servers": 20000, "gateways": 7400}.
using MeasuredSizes = std::map<std::string, double>;

// A measured value of a scenario.
struct Measurement {
  std::string scenario;
  std::string name;
  MeasuredSizes at;
  double value = 0;
  std::string unit;  // of the value, such as "us", "MB" or "bytes/s"
};

// A measured value and its size.
struct Point {
  double size = 0;
  double value = 0;
};

// A line through measured points, value = intercept + slope * size, and its deviation from them.
struct Fit {
  std::string scenario;
  std::string name;
  std::string size_name;  // the key of MeasuredSizes along which the line runs
  std::string unit;
  MeasuredSizes at;  // the other sizes, which all points have in common
  double intercept = 0;
  double slope = 0;
  double target = 0;        // the size of interest
  double target_value = 0;  // the line's value at the target
  // The target divided by the largest measured size. Up to 1, the target lies within the range of
  // the measured sizes.
  double extrapolation = 0;
  double deviation = 0;     // measured minus fitted value, where it is largest in absolute terms
  double deviation_at = 0;  // the size at which it occurs
  double deviation_fraction = 0;  // the deviation divided by the measured value
  std::size_t points = 0;
};

// Fits a line by least squares. If all points have the same size, the slope is 0; without points,
// intercept and slope are 0.
Fit fit_line(const std::vector<Point>& points, double target);

// Collects the results of a run.
class Report {
 public:
  // Writes each measurement, fit and note to `lines` as one JSON object as soon as it is known;
  // null disables that. `lines` must outlive the report. `seed` reproduces the run and is part of
  // each object.
  explicit Report(std::ostream* lines, std::uint64_t seed = 1) : lines_(lines), seed_(seed) {}

  void add(Measurement measurement);
  // Fits a line over at[size_name] through the measurements of that name, and reports the line, its
  // value at the target and its deviation. Measurements that differ in another size of `at` get
  // separate lines. If there are no such measurements, adds a note.
  void fit(const std::string& scenario, const std::string& name, const std::string& size_name,
           double target);
  // Adds a sentence about the run that is not a measurement, such as an observed deviation.
  void note(const std::string& scenario, const std::string& text);

  // Writes all measurements and fits so far as aligned tables, followed by the notes.
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
