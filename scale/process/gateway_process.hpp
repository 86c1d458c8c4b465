// Runs a real gateway in a process of its own: starts it, checks whether it is ready, reloads its
// configuration, and reads its processor time and memory. Owned by the scenario that measures it;
// the destructor ends the process.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <stdexcept>
#include <string>

#include "process/gateway_config.hpp"

namespace quota_gateway::scale {

// A gateway process did not reach the state that a measurement needs.
class GatewayProcessError : public std::runtime_error {
 public:
  enum class Kind {
    kNotStarted,      // its working folder or its process could not be created
    kNotReady,        // it did not become ready in time, or ended before
    kReloadRejected,  // it rejected a configuration, or did not load it in time
    kEnded            // it ended unexpectedly; the message contains the beginning of its log
  };
  GatewayProcessError(Kind kind, const std::string& message)
      : std::runtime_error(message), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

// The process has a folder for its configuration, its log and its hot-restart socket below the
// system's folder for temporary files. The destructor removes that folder. All calls block.
class GatewayProcess {
 public:
  // Throws GatewayProcessError kNotStarted. If the program cannot be run, the process ends with
  // exit code 127.
  GatewayProcess(const std::string& program, const GatewayConfigOptions& config);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const;
  // On the clock of steady_ms().
  double started_at_ms() const { return started_at_ms_; }

  // Writes the configuration and sends SIGHUP. Throws kReloadRejected if the gateway rejects the
  // configuration or has not loaded it within `timeout_s`.
  void reload(const GatewayConfigOptions& config, double timeout_s);

  // Whether the gateway answers its health check with status 200.
  bool is_ready() const;
  // Throws kNotReady if the gateway is not ready within `timeout_s`, or has ended.
  void wait_until_ready(double timeout_s) const;
  // Whether the gateway serves a request within `timeout_s`. Being ready does not show that it has
  // a list: a gateway that knows no server reports ready once its discovery agent is late.
  bool wait_until_serving(double timeout_s) const;
  // Waits until the gateway uses almost no processor time, for at most `timeout_s`. Throws kEnded.
  void wait_until_idle(double timeout_s) const;

  // Processor time so far. Throws kEnded.
  double cpu_ms() const;
  // MB of 1e6 bytes.
  double resident_mb() const;
  double peak_resident_mb() const;  // since the start or the last reset_peak_resident()
  void reset_peak_resident() const;

 private:
  std::string log_path() const { return folder_ + "/log"; }
  std::string config_path() const { return folder_ + "/config.json"; }
  void write_config(const GatewayConfigOptions& config) const;
  [[noreturn]] void exec_program(const std::string& program) const;
  bool is_running() const;
  bool is_serving() const;
  // Sends the bytes on a new connection. Returns whether the gateway responds with status 200.
  bool responds_with_200(const std::string& request) const;
  std::size_t count_in_log(const std::string& text) const;

  std::string folder_;
  std::string host_;
  double started_at_ms_ = 0;
  pid_t pid_ = 0;
};

}  // namespace quota_gateway::scale
