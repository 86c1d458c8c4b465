// Slopes of the decision module alone, through its interface, by this thread's processor time. Each
// function is a scenario, called by the program's run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "scenario.hpp"

namespace quota_gateway::scale {

// A request in the module, by listed servers, with idle and with full servers.
void measure_module_requests(const Options& options, Report& report);
// A change of one server, by listed servers.
void measure_module_changes(const Options& options, Report& report);
// A zone's servers change in slices, by listed servers.
void measure_module_bursts(const Options& options, Report& report);
// A complete list and its memory, by listed servers.
void measure_module_lists(const Options& options, Report& report);
// Memory and a change of the settings, by classes.
void measure_module_classes(const Options& options, Report& report);
// Memory and periodic maintenance, by tenants met.
void measure_module_tenants(const Options& options, Report& report);

// Estimates in bytes of what a scenario takes: by listed servers, by classes and by tenants.
std::uint64_t module_server_memory(const Options& options);
std::uint64_t module_class_memory(const Options& options);
std::uint64_t module_tenant_memory(const Options& options);

// The sizes in ascending order; classes go up to the operators' routes.
std::vector<std::size_t> module_gateway_counts(const Options& options);
std::vector<std::size_t> module_class_counts(const Options& options);
std::vector<std::size_t> module_tenant_counts(const Options& options);
std::size_t most_module_gateways(const Options& options);

}  // namespace quota_gateway::scale
