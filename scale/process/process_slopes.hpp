// Scenarios that measure real gateway processes at several sizes. They include what the scenarios
// of the decision module leave out: parsing, sockets and memory that the allocator retains.
// Processor time is that of the gateway process. The time until a gateway is ready and the latency
// of requests are measured in elapsed time; the latency is also measured without a gateway, which
// shows the share of the measuring client and the servers.
//
// Each measure_...() function runs one scenario and adds its measurements to the report. They need
// Options::gateway_program, and throw GatewayProcessError if a gateway does not reach the state
// that the measurement needs.
#pragma once

#include <cstdint>

#include "scenario.hpp"

namespace quota_gateway::scale {

// A gateway that starts with a list: time, memory, changes, SIGHUP.
void measure_known_lists(const Options& options, Report& report);
// A gateway that knows no server and is sent a complete list: time, memory, bytes.
void measure_pushed_lists(const Options& options, Report& report);
// Latency that a gateway adds to requests, by listed servers and while a zone drains.
void measure_request_delays(const Options& options, Report& report);
// A list without an end: bytes sent to the gateway and its processor time, over time.
void measure_endless_list(const Options& options, Report& report);
// Start, memory and SIGHUP, by classes of the settings.
void measure_class_counts(const Options& options, Report& report);

// Estimates of the memory that a scenario needs in all of its processes, in bytes: for a constant
// size, by listed servers, and by classes.
std::uint64_t process_base_memory(const Options& options);
std::uint64_t process_server_memory(const Options& options);
std::uint64_t process_class_memory(const Options& options);

}  // namespace quota_gateway::scale
