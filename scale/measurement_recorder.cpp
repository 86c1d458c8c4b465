#include "measurement_recorder.hpp"

namespace quota_gateway::scale {

void MeasurementRecorder::add(const std::string& name, const MeasuredSizes& sizes, double value,
                              const std::string& unit) const {
  report_->add({scenario_, name, sizes, value, unit});
}

void MeasurementRecorder::note(const std::string& text) const {
  report_->note(scenario_, text);
}

void MeasurementRecorder::fit(std::initializer_list<const char*> names,
                              const std::string& size_name, double target) const {
  for (const char* name : names) {
    report_->fit(scenario_, name, size_name, target);
  }
}

}  // namespace quota_gateway::scale
