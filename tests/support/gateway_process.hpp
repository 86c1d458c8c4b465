// The program itself as a process, and a configuration for it.
#pragma once

#include <sys/types.h>

#include <csignal>
#include <cstdint>
#include <optional>
#include <string>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// Runs from its construction on; killed at its end if it still runs.
class Process {
 public:
  // `folder`: its $TMPDIR, which it shares with another process of its gateway.
  explicit Process(const std::string& config, const std::string& folder = "");
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  // Reads its log up to a line that holds `text`, or to its end. Blocks.
  std::string read_log_until(const std::string& text) const;
  // Overwrites its configuration file.
  void write_configuration(const std::string& config);
  void request_reload() const { send_signal(SIGHUP); }
  void terminate() const { send_signal(SIGTERM); }
  void send_signal(int signal) const;
  std::string process_id() const { return std::to_string(pid_); }
  // Waits for its end. None if a signal ended it.
  std::optional<int> wait_for_exit();

 private:
  std::string config_path_;
  pid_t pid_ = 0;  // 0 once it has been waited for
  int log_ = -1;
};

// A port of this machine that nobody listens on, below those that the kernel hands out: one of
// these could be anybody's before the process binds it.
std::uint16_t free_port(asio::io_context& io);

// A configuration with one class and one plan. `more`: further members, each followed by a comma.
// `members`: entries of the persisted list; if empty, `server` alone.
std::string config_json(std::uint16_t port, const Listener& server, const Listener& discovery,
                        const std::string& more = "", const std::string& members = "");

}  // namespace quota_gateway::net::testing
