#include "support/gateway_process.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>

#include "support/listed_endpoints.hpp"

namespace quota_gateway::net::testing {
namespace {

// free_port() starts in one of kPortRanges ranges of kPortsPerRange ports each.
constexpr std::uint16_t kFirstPort = 12'000;
constexpr int kPortRanges = 1'000;
constexpr int kPortsPerRange = 16;
constexpr std::size_t kLogPieceBytes = 4 << 10;
constexpr int kExecFailed = 127;  // exit code of a shell that cannot run a command

std::string create_temporary_file() {
  std::string name = "/tmp/quota-gateway-test-XXXXXX";
  const int fd = ::mkstemp(name.data());
  EXPECT_GE(fd, 0);
  ::close(fd);
  return name;
}

// A process that a test starts beside hundreds of its own connections would otherwise hold them
// too.
void close_inherited_descriptors() {
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
}

void limit_descriptors(std::size_t max_descriptors) {
  const rlimit limit{max_descriptors, max_descriptors};
  ::setrlimit(RLIMIT_NOFILE, &limit);
}

void load_faults(const ProcessFaults& faults) {
  std::string libraries = QUOTA_GATEWAY_SYSTEM_CALL_FAULTS;
  if (!faults.allocations.empty()) {
    libraries += std::string(" ") + QUOTA_GATEWAY_ALLOCATION_FAULTS;
  }
  ::setenv("LD_PRELOAD", libraries.c_str(), 1);
  ::setenv("SYSTEM_CALL_FAULTS", faults.system_calls.c_str(), 1);
  ::setenv("ALLOCATION_FAULTS", faults.allocations.c_str(), 1);
  // The address sanitizer expects its own library to be the first.
  const char* const options = std::getenv("ASAN_OPTIONS");
  const std::string all_options = std::string(options ? options : "") + ":verify_asan_link_order=0";
  ::setenv("ASAN_OPTIONS", all_options.c_str(), 1);
}

std::string replace_once(std::string text, const std::string& found,
                         const std::string& replacement) {
  return text.replace(text.find(found), found.size(), replacement);
}

}  // namespace

Process::Process(const std::string& config, const std::string& hot_restart_directory,
                 std::size_t max_descriptors, const ProcessFaults& faults)
    : config_path_(create_temporary_file()) {
  write_configuration(config);
  std::array<int, 2> pipe_ends{};
  EXPECT_EQ(::pipe(pipe_ends.data()), 0);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(pipe_ends[1], STDERR_FILENO);
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
    close_inherited_descriptors();
    if (max_descriptors > 0) {
      limit_descriptors(max_descriptors);
    }
    if (!faults.system_calls.empty() || !faults.allocations.empty()) {
      load_faults(faults);
    }
    ::setenv("RELAY_CONFIG", config_path_.c_str(), 1);
    ::setenv("TMPDIR", hot_restart_directory.c_str(), 1);
    ::execl(QUOTA_GATEWAY_PROGRAM, QUOTA_GATEWAY_PROGRAM, nullptr);
    ::_exit(kExecFailed);
  }
  ::close(pipe_ends[1]);
  log_fd_ = pipe_ends[0];
}

Process::~Process() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  ::close(log_fd_);
  ::unlink(config_path_.c_str());
}

std::string Process::read_log_until(const std::string& text) const {
  std::string log;
  char byte = 0;
  while (::read(log_fd_, &byte, 1) == 1) {
    log += byte;
    if (byte == '\n' && log.find(text) != std::string::npos) {
      break;
    }
  }
  return log;
}

std::string Process::read_available_log() const {
  std::string log;
  std::array<char, kLogPieceBytes> piece{};
  pollfd readable{log_fd_, POLLIN, 0};
  while (::poll(&readable, 1, 0) == 1) {
    const auto size = ::read(log_fd_, piece.data(), piece.size());
    if (size <= 0) {
      break;
    }
    log.append(piece.data(), std::size_t(size));
  }
  return log;
}

void Process::fill_log() const {
  const std::string log = "/proc/" + process_id() + "/fd/" + std::to_string(STDERR_FILENO);
  const int pipe = ::open(log.c_str(), O_WRONLY | O_NONBLOCK);
  ASSERT_GE(pipe, 0);
  while (::write(pipe, "\n", 1) == 1) {
  }
  ::close(pipe);
}

void Process::write_configuration(const std::string& config) {
  std::ofstream(config_path_, std::ios::trunc) << config;
}

void Process::send_signal(int signal) const {
  ::kill(pid_, signal);
}

bool Process::is_running() const {
  siginfo_t ended{};
  ::waitid(P_PID, id_t(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
  return ended.si_pid == 0;
}

bool Process::has_opened_configuration() const {
  std::error_code ignored;
  for (const auto& descriptor :
       std::filesystem::directory_iterator("/proc/" + process_id() + "/fd", ignored)) {
    if (std::filesystem::read_symlink(descriptor, ignored) == config_path_) {
      return true;
    }
  }
  return false;
}

std::optional<int> Process::wait_for_exit() {
  int status = 0;
  ::waitpid(pid_, &status, 0);
  pid_ = 0;
  if (!WIFEXITED(status)) {
    return std::nullopt;
  }
  return WEXITSTATUS(status);
}

std::uint16_t free_port(asio::io_context& io) {
  // Test processes run in parallel, so the process id selects the range of ports.
  static auto port = std::uint16_t(kFirstPort + ::getpid() % kPortRanges * kPortsPerRange);
  while (true) {
    tcp::acceptor acceptor(io, tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    error_code in_use;
    acceptor.bind({asio::ip::address_v4::loopback(), ++port}, in_use);
    if (!in_use) {
      return port;
    }
  }
}

std::string config_json(std::uint16_t port, const Listener& server, const Listener& discovery,
                        const std::string& extra_fields, const std::string& persisted_entries) {
  const std::string entries =
      persisted_entries.empty() ? entry_json("s1", server.host_port()) : persisted_entries;
  return R"({"name":"n0","listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
         discovery.host_port() +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
    )" + extra_fields +
         R"("known":)" + list_json(41, true, entries) +
         R"(,
    "settings":{"Az":"a","ReplicasOfMe":3,"Position":0,"Classes":[{"Name":"profile-read","Repeat":"safe",
      "ObjectiveUs":3000000,"GiveUpUs":4000000,"Importance":1.0}],
      "TiersOfService":[{"Name":"plan-group","QuotaRate":900,"Depth":900}],"Limits":{"MaxAttempts":4}}})";
}

std::string with_memory_limit(const std::string& config, std::size_t megabytes) {
  return replace_once(config, "\"memory_mb\":192", "\"memory_mb\":" + std::to_string(megabytes));
}

std::string with_descriptor_limit(const std::string& config, std::size_t descriptors) {
  return replace_once(config, "\"sockets\":1024", "\"sockets\":" + std::to_string(descriptors));
}

std::string with_post_class(const std::string& config) {
  const std::string classes = "\"Classes\":[";
  return replace_once(
      config, classes,
      classes +
          R"({"Name":"intro-request","Repeat":"unsafe","ObjectiveUs":3000000,"GiveUpUs":4000000,)"
          R"("Importance":1.0},)");
}

}  // namespace quota_gateway::net::testing
