#include "policy/settings_registry.hpp"

#include <utility>

namespace quota_gateway::policy {

void SettingsRegistry::update(const Settings& settings) {
  for (const PlanSettings& plan : settings.plans) {
    plans_[plan.name] = plan;
  }
  const auto previous_classes = std::exchange(classes_, {});
  for (const ClassSettings& class_settings : settings.classes) {
    RequestClass updated{class_settings};
    const auto previous = previous_classes.find(class_settings.name);
    if (previous != previous_classes.end()) {
      updated.latency = previous->second->latency;
      updated.latency.set_latency_objective(class_settings.latency_objective);
    }
    classes_[class_settings.name] = std::make_shared<RequestClass>(std::move(updated));
  }
}

const std::shared_ptr<RequestClass>& SettingsRegistry::request_class(
    const std::string& name) const {
  const auto found = classes_.find(name);
  return found != classes_.end() ? found->second : unknown_class_;
}

const PlanSettings& SettingsRegistry::plan(const std::string& name) {
  return plans_[name];
}

}  // namespace quota_gateway::policy
