// Scenarios that measure the decision module alone at several sizes, through its public interface
// and by the processor time of the calling thread. Each measure_...() function runs one scenario
// and adds its measurements to the report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "scenario.hpp"

namespace quota_gateway::scale {

// A request, by listed servers, with idle servers and with servers at capacity.
void measure_module_requests(const Options& options, Report& report);
// A change of one server, by listed servers.
void measure_module_changes(const Options& options, Report& report);
// All servers of a zone change in several partial updates (slices), by listed servers.
void measure_module_bursts(const Options& options, Report& report);
// A complete list and its memory, by listed servers.
void measure_module_lists(const Options& options, Report& report);
// Memory and a change of the settings, by classes.
void measure_module_classes(const Options& options, Report& report);
// Memory and periodic maintenance, by tenants that have sent requests.
void measure_module_tenants(const Options& options, Report& report);

// Estimates of the memory that a scenario needs, in bytes: by listed servers, by classes and by
// tenants.
std::uint64_t module_server_memory(const Options& options);
std::uint64_t module_class_memory(const Options& options);
std::uint64_t module_tenant_memory(const Options& options);

// The sizes at which scenarios measure, in ascending order. Unless Options::small is set, classes
// go up to the number of the operators' routes.
std::vector<std::size_t> module_gateway_counts(const Options& options);
std::vector<std::size_t> module_class_counts(const Options& options);
std::vector<std::size_t> module_tenant_counts(const Options& options);
std::size_t max_module_gateways(const Options& options);

}  // namespace quota_gateway::scale
