// Runs the gateway program as a child process, and writes configurations for it.
#pragma once

#include <sys/types.h>

#include <csignal>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// The faults of a process; an empty text: none.
struct ProcessFaults {
  std::string system_calls = {};  // see tests/support/system_call_faults
  std::string allocations =
      {};  // see tests/support/allocation_faults; not with the address sanitizer
};

// A gateway process that the constructor starts. The destructor kills it if it still runs.
class Process {
 public:
  // `config`: the text of the configuration file. `hot_restart_directory`: the value of TMPDIR,
  // which a process shares with the peer processes of its gateway. `max_descriptors`: the limit on
  // the descriptors of the process; 0: that of the test.
  explicit Process(const std::string& config, const std::string& hot_restart_directory = "",
                   std::size_t max_descriptors = 0, const ProcessFaults& faults = {});
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  // Reads the log up to the end of the first line that contains `text`, or up to the end of the
  // log, and returns what was read. Blocks until then.
  std::string read_log_until(const std::string& text) const;
  // Returns what the process has logged since the last call. Does not block. A process whose log is
  // not read blocks once its pipe is full.
  std::string read_available_log() const;
  // Fills the pipe of the log, which nobody reads then: a log collector that hangs.
  void fill_log() const;
  // Overwrites the configuration file. The process reads it at the next reload.
  void write_configuration(const std::string& config);
  // Sends SIGHUP, which makes the process reload its configuration.
  void request_reload() const { send_signal(SIGHUP); }
  // Sends SIGTERM, which makes the process drain and exit.
  void terminate() const { send_signal(SIGTERM); }
  void send_signal(int signal) const;
  std::string process_id() const { return std::to_string(pid_); }
  // Whether the process has not ended. A process that has ended counts as running no longer, but
  // wait_for_exit() still returns its exit code.
  bool is_running() const;
  // Whether the process has opened its configuration file and not closed it.
  bool has_opened_configuration() const;
  // Waits until the process exits and returns its exit code, or none if a signal ended it.
  std::optional<int> wait_for_exit();

 private:
  std::string config_path_;
  pid_t pid_ = 0;    // 0 after wait_for_exit()
  int log_fd_ = -1;  // read end of the pipe that receives standard error
};

// Returns a local TCP port on which no process listens. The port is below the kernel's ephemeral
// range: another program could get an ephemeral port before the gateway process binds it.
std::uint16_t free_port(asio::io_context& io);

// Returns a configuration with one request class and one plan. `extra_fields`: further fields at
// the top level, each followed by a comma. `persisted_entries`: the entries of the persisted list;
// if empty, the list contains only `server`.
std::string config_json(std::uint16_t port, const Listener& server, const Listener& discovery,
                        const std::string& extra_fields = "",
                        const std::string& persisted_entries = "");

// Returns `config`, a result of config_json(), with another memory limit.
std::string with_memory_limit(const std::string& config, std::size_t megabytes);

// Returns `config`, a result of config_json(), with another limit on descriptors.
std::string with_descriptor_limit(const std::string& config, std::size_t descriptors);

// Returns `config`, a result of config_json(), with the class of post_request() added.
std::string with_post_class(const std::string& config);

}  // namespace quota_gateway::net::testing
