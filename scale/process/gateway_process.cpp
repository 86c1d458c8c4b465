#include "process/gateway_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "process/polling.hpp"
#include "process/process_usage.hpp"
#include "process/read_request.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Kind = GatewayProcessError::Kind;

constexpr unsigned short kPort = 8080;
constexpr int kExecFailedExitCode = 127;  // as a shell reports it
constexpr mode_t kLogMode = 0600;
// A process is idle if it uses less than kIdleCpuMs of processor time between two checks.
constexpr double kIdleCpuMs = 10;
constexpr double kIdleCheckIntervalMs = 100;
// Above the trace ids of the scenarios' clients, because no two requests may share one.
constexpr std::uint64_t kFirstProbeTraceId = (std::uint64_t(1) << 40) + 1;
constexpr std::uint64_t kProbeExpiresInMs = 300;
constexpr std::size_t kLogExcerptBytes = 400;
// Texts that the gateway logs for each reload and for a failed reload.
constexpr const char* kReloadLogText = "configuration ";
constexpr const char* kReloadFailedLogText = "configuration reload failed";

std::string make_folder() {
  const auto name = std::filesystem::temp_directory_path() / "quota_gateway-scale-XXXXXX";
  std::string path = name.string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw GatewayProcessError(Kind::kNotStarted,
                              "cannot create a folder for the gateway process: " + path);
  }
  return path;
}

// Returns a different loopback address for each process. If the kernel picked a free port instead,
// another process could bind that port before the gateway does.
std::string next_loopback_host() {
  constexpr unsigned kOctetValues = 250;  // 1 to 250
  static std::atomic<unsigned> processes = 0;
  const auto own_pid = unsigned(::getpid());
  const auto octet = [](unsigned number) {
    return "." + std::to_string(1 + number % kOctetValues);
  };
  return "127" + octet(own_pid / kOctetValues) + octet(own_pid) + octet(++processes);
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

ReadRequest next_probe() {
  static std::atomic<std::uint64_t> trace_id = kFirstProbeTraceId;
  ReadRequest probe;
  probe.trace_id = trace_id++;
  probe.expires_in_ms = kProbeExpiresInMs;
  return probe;
}

}  // namespace

GatewayProcess::GatewayProcess(const std::string& program, const GatewayConfigOptions& config)
    : folder_(make_folder()), host_(next_loopback_host()) {
  write_config(config);
  started_at_ms_ = steady_ms();
  pid_ = ::fork();
  if (pid_ < 0) {
    throw GatewayProcessError(Kind::kNotStarted, "cannot start the gateway process: fork failed");
  }
  if (pid_ == 0) {
    exec_program(program);
  }
}

GatewayProcess::~GatewayProcess() {
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void GatewayProcess::exec_program(const std::string& program) const {
  // Ends the gateway when the measuring process is killed, so that no gateway is left running.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::setenv("RELAY_CONFIG", config_path().c_str(), 1);
  ::setenv("TMPDIR", folder_.c_str(), 1);
  ::execl(program.c_str(), program.c_str(), nullptr);
  ::_exit(kExecFailedExitCode);
}

tcp::endpoint GatewayProcess::endpoint() const {
  return {asio::ip::make_address(host_), kPort};
}

void GatewayProcess::write_config(const GatewayConfigOptions& config) const {
  std::ofstream(config_path(), std::ios::trunc)
      << render_gateway_config(config, host_ + ":" + std::to_string(kPort));
}

void GatewayProcess::reload(const GatewayConfigOptions& config, double timeout_s) {
  write_config(config);
  const std::size_t reloads_before = count_in_log(kReloadLogText);
  ::kill(pid_, SIGHUP);
  const bool is_done =
      poll_until(timeout_s, [&] { return count_in_log(kReloadLogText) > reloads_before; });
  if (!is_done || count_in_log(kReloadFailedLogText) > 0) {
    throw GatewayProcessError(Kind::kReloadRejected,
                              "the gateway rejected a configuration or did not reload it in time");
  }
}

bool GatewayProcess::is_ready() const {
  return responds_with_200("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
}

bool GatewayProcess::is_serving() const {
  return responds_with_200(render(next_probe()));
}

bool GatewayProcess::is_running() const {
  // WNOWAIT leaves the process to be reaped by the destructor. Otherwise its id could pass to
  // another process, and the destructor would kill that one.
  siginfo_t ended{};
  const int status = ::waitid(P_PID, id_t(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
  return status == 0 && ended.si_pid == 0;
}

void GatewayProcess::wait_until_ready(double timeout_s) const {
  const bool stopped_waiting = poll_until(timeout_s, [&] { return !is_running() || is_ready(); });
  if (!stopped_waiting || !is_running()) {
    throw GatewayProcessError(Kind::kNotReady,
                              "the gateway did not become ready in time or has ended");
  }
}

bool GatewayProcess::wait_until_serving(double timeout_s) const {
  return poll_until(timeout_s, [&] { return !is_running() || is_serving(); }) && is_running();
}

void GatewayProcess::wait_until_idle(double timeout_s) const {
  double previous = cpu_ms();
  poll_until(timeout_s, [&] {
    sleep_ms(kIdleCheckIntervalMs);
    const double spent = cpu_ms();
    const bool is_idle = previous + kIdleCpuMs > spent;
    previous = spent;
    return is_idle;
  });
}

double GatewayProcess::cpu_ms() const {
  const std::optional<double> spent = process_cpu_ms(pid_);
  if (!spent || !is_running()) {
    throw GatewayProcessError(Kind::kEnded, "the gateway has ended; its log begins with: " +
                                                read_file(log_path()).substr(0, kLogExcerptBytes));
  }
  return *spent;
}

double GatewayProcess::resident_mb() const {
  return scale::resident_mb(pid_);
}

double GatewayProcess::peak_resident_mb() const {
  return scale::peak_resident_mb(pid_);
}

void GatewayProcess::reset_peak_resident() const {
  scale::reset_peak_resident(pid_);
}

bool GatewayProcess::responds_with_200(const std::string& request) const {
  asio::io_context io;
  tcp::socket socket(io);
  error_code error;
  socket.connect(endpoint(), error);
  if (error) {
    return false;
  }
  asio::write(socket, asio::buffer(request), error);
  const std::string expected = "HTTP/1.1 200";
  std::string status(expected.size(), ' ');
  asio::read(socket, asio::buffer(status), error);
  return !error && status == expected;
}

std::size_t GatewayProcess::count_in_log(const std::string& text) const {
  const std::string log = read_file(log_path());
  std::size_t count = 0;
  std::size_t position = log.find(text);
  while (position != std::string::npos) {
    ++count;
    position = log.find(text, position + 1);
  }
  return count;
}

}  // namespace quota_gateway::scale
