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
constexpr int kExecFailed = 127;  // the exit code, as of a shell
constexpr mode_t kLogMode = 0600;
// A process is idle if it spends less than this between two looks.
constexpr double kIdleCpuMs = 10;
constexpr double kIdleLookMs = 100;
// Above the trace ids that clients of the slopes use.
constexpr std::uint64_t kFirstTraceId = (std::uint64_t(1) << 40) + 1;
constexpr std::uint64_t kProbeExpiresInMs = 300;
constexpr std::size_t kLogExcerpt = 400;  // bytes
// What the gateway logs of a reload: either of two lines that begin so; this one if it failed.
constexpr const char* kReloadLine = "configuration ";
constexpr const char* kReloadRejectedLine = "configuration reload failed";

std::string make_folder() {
  const auto name = std::filesystem::temp_directory_path() / "quota_gateway-scale-XXXXXX";
  std::string path = name.string();
  if (::mkdtemp(path.data()) == nullptr) {
    throw GatewayProcessError(Kind::kNotStarted, "no folder could be made: " + path);
  }
  return path;
}

// A loopback address for each process, because a port that the kernel hands out could be taken by
// anybody before the process binds it.
std::string next_host() {
  constexpr unsigned kOctetValues = 250;  // of 1 to 250
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
  static std::atomic<std::uint64_t> trace_id = kFirstTraceId;
  ReadRequest probe;
  probe.trace_id = trace_id++;
  probe.expires_in_ms = kProbeExpiresInMs;
  return probe;
}

}  // namespace

GatewayProcess::GatewayProcess(const std::string& program, const GatewayConfigOptions& config)
    : folder_(make_folder()), host_(next_host()) {
  write_config(config);
  started_at_ms_ = wall_ms();
  pid_ = ::fork();
  if (pid_ < 0) {
    throw GatewayProcessError(Kind::kNotStarted, "no process could be started");
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
  // Without this, gateways would outlive a measurement that is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::setenv("RELAY_CONFIG", config_path().c_str(), 1);
  ::setenv("TMPDIR", folder_.c_str(), 1);
  ::execl(program.c_str(), program.c_str(), nullptr);
  ::_exit(kExecFailed);
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
  const std::size_t reloads_before = count_in_log(kReloadLine);
  ::kill(pid_, SIGHUP);
  const bool is_done =
      poll_until(timeout_s, [&] { return count_in_log(kReloadLine) > reloads_before; });
  if (!is_done || count_in_log(kReloadRejectedLine) > 0) {
    throw GatewayProcessError(Kind::kReloadRejected, "a configuration was not taken");
  }
}

bool GatewayProcess::is_ready() const {
  return answers_with_200("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
}

bool GatewayProcess::is_serving() const {
  return answers_with_200(render(next_probe()));
}

bool GatewayProcess::is_running() const {
  // Left to be waited for until the destructor, so that its id cannot become that of another
  // process, which the destructor would kill.
  siginfo_t ended{};
  const int status = ::waitid(P_PID, id_t(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
  return status == 0 && ended.si_pid == 0;
}

void GatewayProcess::wait_until_ready(double timeout_s) const {
  const bool stopped_waiting = poll_until(timeout_s, [&] { return !is_running() || is_ready(); });
  if (!stopped_waiting || !is_running()) {
    throw GatewayProcessError(Kind::kNotReady, "a gateway was not ready in time");
  }
}

bool GatewayProcess::wait_until_serving(double timeout_s) const {
  return poll_until(timeout_s, [&] { return !is_running() || is_serving(); }) && is_running();
}

void GatewayProcess::wait_until_idle(double timeout_s) const {
  double previous = cpu_ms();
  poll_until(timeout_s, [&] {
    sleep_ms(kIdleLookMs);
    const double spent = cpu_ms();
    const bool is_idle = previous + kIdleCpuMs > spent;
    previous = spent;
    return is_idle;
  });
}

double GatewayProcess::cpu_ms() const {
  const std::optional<double> spent = process_cpu_ms(pid_);
  if (!spent || !is_running()) {
    throw GatewayProcessError(
        Kind::kEnded, "the gateway has ended: " + read_file(log_path()).substr(0, kLogExcerpt));
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

bool GatewayProcess::answers_with_200(const std::string& request) const {
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
