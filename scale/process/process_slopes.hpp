// Slopes of real gateway processes: what the decision module's slopes leave out, which is parsing,
// sockets and what the allocator keeps. Processor time is the gateway process's own. Only what
// clients wait is taken by the wall clock, and beside it what the measuring client adds itself.
//
// Each function is a scenario, called by the program's run. They need Options::gateway_program, and
// throw GatewayProcessError if a gateway does not do what the measurement needs.
#pragma once

#include <cstdint>

#include "scenario.hpp"

namespace quota_gateway::scale {

// A gateway that starts with a list: time, memory, changes, SIGHUP.
void measure_known_lists(const Options& options, Report& report);
// A gateway that knows no server and is sent a whole list: time, memory, bytes.
void measure_pushed_lists(const Options& options, Report& report);
// What requests wait in a gateway, by listed servers and while a zone changes.
void measure_request_delays(const Options& options, Report& report);
// A list that never ends: bytes drawn over time.
void measure_endless_list(const Options& options, Report& report);
// SIGHUP, by classes.
void measure_class_counts(const Options& options, Report& report);

// Estimates in bytes of what a scenario takes, all processes together: one of constant size, by
// listed servers, and by classes.
std::uint64_t process_base_memory(const Options& options);
std::uint64_t process_server_memory(const Options& options);
std::uint64_t process_class_memory(const Options& options);

}  // namespace quota_gateway::scale
