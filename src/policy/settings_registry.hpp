// Holds the request classes and plans of the settings, at stable addresses that open requests and
// customers may refer to. Owned by the gateway, which updates it whenever the settings change.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "policy/request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::policy {

class SettingsRegistry {
 public:
  // Applies new settings. A plan is updated in place and thus changes for its customers. A class is
  // replaced by a new object that takes over the latency measurements, so that open requests keep
  // the class with which they arrived.
  void update(const Settings& settings);

  // Returns the class with this name, or a class with default settings if the settings do not
  // define it.
  const std::shared_ptr<RequestClass>& request_class(const std::string& name) const;

  // Returns the plan with this name, or a plan without a quota if the settings do not define it.
  const PlanSettings& plan(const std::string& name);

 private:
  const std::shared_ptr<RequestClass> unknown_class_ = std::make_shared<RequestClass>();
  std::map<std::string, std::shared_ptr<RequestClass>> classes_;
  std::map<std::string, PlanSettings> plans_;  // never erased, because customers refer to them
};

}  // namespace quota_gateway::policy
