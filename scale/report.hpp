// Results: JSON lines for programs, a table for people, and lines fitted through slopes.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace cottonroad::scale {

// One measured figure: at which sizes, and its value with its unit ("us", "MB", "bytes/s", ...).
struct Figure {
  std::string scenario, name;
  std::map<std::string, double> at;  // such as {"servers": 20000, "gateways": 7400}
  double value = 0;
  std::string unit;
};

class Report {
 public:
  // Each figure is written to `lines` as one JSON object the moment it is known; null: nowhere.
  explicit Report(std::ostream* lines) : lines_(lines) {}
  void add(Figure figure);
  // Fits value = fixed + each * at[by] through the figures of that name by least squares; tells both, the
  // value at the target, how far that is extrapolated, and the largest deviation of a point from the line.
  void fit(const std::string& scenario, const std::string& name, const std::string& by, double target);
  // A sentence about the run that is no figure, such as a deviation that was seen.
  void note(const std::string& scenario, const std::string& text);
  void table(std::ostream& out) const;
  const std::vector<Figure>& figures() const { return figures_; }

 private:
  std::ostream* lines_;
  std::vector<Figure> figures_;
  std::vector<std::string> notes_;
};

}  // namespace cottonroad::scale
