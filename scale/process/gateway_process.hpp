// A real gateway as a process of its own: starts it, asks whether it is ready, reloads its
// configuration, and reads what it has used. Each process slope owns those that it measures; they
// end with it.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <stdexcept>
#include <string>

#include "process/gateway_config.hpp"

namespace quota_gateway::scale {

// A gateway process did not do what its measurement needs.
class GatewayProcessError : public std::runtime_error {
 public:
  enum class Kind {
    kNotStarted,      // the system gave no folder or process for it
    kNotReady,        // it did not become ready in time
    kReloadRejected,  // it did not take a configuration, or not in time
    kEnded            // it ended by itself; the message holds the beginning of its log
  };
  GatewayProcessError(Kind kind, const std::string& message)
      : std::runtime_error(message), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

// Its folder, with the configuration, the log and the hot-restart socket, is below the system's
// folder for temporary files, and is removed with it. All calls block.
class GatewayProcess {
 public:
  // Throws GatewayProcessError kNotStarted. A program that cannot be run ends with code 127.
  GatewayProcess(const std::string& program, const GatewayConfigOptions& config);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const;
  // By wall_ms().
  double started_at_ms() const { return started_at_ms_; }

  // Has it load the configuration by SIGHUP. Throws kReloadRejected if it has not within
  // `timeout_s`.
  void reload(const GatewayConfigOptions& config, double timeout_s);

  bool is_ready() const;
  // Throws kNotReady if it is not within `timeout_s`, or has ended.
  void wait_until_ready(double timeout_s) const;
  // Whether it serves a request within `timeout_s`. A gateway that knows no server says that it is
  // ready once its discovery agent is late, so that being ready does not show that it has a list.
  bool wait_until_serving(double timeout_s) const;
  // Waits until it spends next to no processor time, for `timeout_s` at most. Throws kEnded.
  void wait_until_idle(double timeout_s) const;

  // Processor time so far. Throws kEnded.
  double cpu_ms() const;
  // MB of 1e6 bytes.
  double resident_mb() const;
  double peak_resident_mb() const;  // since its start or reset_peak_resident()
  void reset_peak_resident() const;

 private:
  std::string log_path() const { return folder_ + "/log"; }
  std::string config_path() const { return folder_ + "/config.json"; }
  void write_config(const GatewayConfigOptions& config) const;
  [[noreturn]] void exec_program(const std::string& program) const;
  bool is_running() const;
  bool is_serving() const;
  // Whether it answers these bytes, sent on a connection of their own, with status 200.
  bool answers_with_200(const std::string& request) const;
  std::size_t count_in_log(const std::string& text) const;

  std::string folder_;
  std::string host_;
  double started_at_ms_ = 0;
  pid_t pid_ = 0;
};

}  // namespace quota_gateway::scale
