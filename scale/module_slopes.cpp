// Adds the scenarios of the decision module to the program's list.
#include "module/module_slopes.hpp"

#include "scenario.hpp"

namespace quota_gateway::scale {

void add_module_slopes(std::vector<Scenario>& scenarios) {
  scenarios.push_back({"module.request",
                       "a request in the module, by listed servers, idle and full",
                       module_server_memory, measure_module_requests});
  scenarios.push_back({"module.change", "a change of one server, by listed servers",
                       module_server_memory, measure_module_changes});
  scenarios.push_back({"module.burst", "a zone's servers change in slices, by listed servers",
                       module_server_memory, measure_module_bursts});
  scenarios.push_back({"module.list", "a complete list and its memory, by listed servers",
                       module_server_memory, measure_module_lists});
  scenarios.push_back({"module.classes", "memory and a change of the settings, by classes",
                       module_class_memory, measure_module_classes});
  scenarios.push_back(
      {"module.tenants", "memory by tenants seen", module_tenant_memory, measure_module_tenants});
}

}  // namespace quota_gateway::scale
