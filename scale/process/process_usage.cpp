#include "process/process_usage.hpp"

#include <ctime>
#include <fstream>
#include <string>

namespace quota_gateway::scale {
namespace {

constexpr double kBytesPerKib = 1024;  // the "kB" of /proc are KiB

std::string proc_file(pid_t pid, const std::string& name) {
  return "/proc/" + std::to_string(pid) + "/" + name;
}

double status_field_mb(pid_t pid, const std::string& field) {
  std::ifstream status(proc_file(pid, "status"));
  for (std::string word; status >> word;) {
    if (word != field) {
      continue;
    }
    double kilobytes = 0;
    if (status >> kilobytes) {
      return kilobytes * kBytesPerKib / 1e6;
    }
  }
  return 0;
}

}  // namespace

std::optional<double> process_cpu_ms(pid_t pid) {
  clockid_t clock{};
  timespec spent{};
  if (::clock_getcpuclockid(pid, &clock) != 0 || ::clock_gettime(clock, &spent) != 0) {
    return std::nullopt;
  }
  return double(spent.tv_sec) * 1e3 + double(spent.tv_nsec) / 1e6;
}

double resident_mb(pid_t pid) {
  return status_field_mb(pid, "VmRSS:");
}

double peak_resident_mb(pid_t pid) {
  return status_field_mb(pid, "VmHWM:");
}

void reset_peak_resident(pid_t pid) {
  std::ofstream(proc_file(pid, "clear_refs")) << "5\n";
}

}  // namespace quota_gateway::scale
