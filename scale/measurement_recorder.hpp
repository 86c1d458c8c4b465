// Adds the measurements of one scenario to a report, so that the scenario's code does not repeat
// its name each time.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

#include "report.hpp"

namespace quota_gateway::scale {

// Cheap to copy. The report must outlive it.
class MeasurementRecorder {
 public:
  MeasurementRecorder(Report& report, std::string scenario)
      : report_(&report), scenario_(std::move(scenario)) {}

  void add(const std::string& name, const MeasuredSizes& sizes, double value,
           const std::string& unit) const;
  void note(const std::string& text) const;
  // Fits a line through the measurements of each of these names; see Report::fit().
  void fit(std::initializer_list<const char*> names, const std::string& size_name,
           double target) const;

 private:
  Report* report_;
  std::string scenario_;
};

}  // namespace quota_gateway::scale
