// The request classes and plans that the settings name, at addresses that customers and open
// requests may keep. Owned by the gateway, which updates it whenever settings change.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class SettingsRegistry {
 public:
  // A plan changes in place, also for the customers that have it. A class becomes another object
  // with the measurements of the old one: requests that are open keep the class they came with.
  void update(const Settings& settings);

  // The class of this name; one with default settings if the settings have none.
  const std::shared_ptr<RequestClass>& request_class(const std::string& name) const;

  // The plan of this name; one without any quota if the settings have none.
  const PlanSettings& plan(const std::string& name);

 private:
  const std::shared_ptr<RequestClass> unknown_class_ = std::make_shared<RequestClass>();
  std::map<std::string, std::shared_ptr<RequestClass>> classes_;
  std::map<std::string, PlanSettings> plans_;  // never erased, for customers point to them
};

}  // namespace quota_gateway::policy
