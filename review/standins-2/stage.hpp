// What the cases of the second review share: the gateway as a process of its own, and stand-ins for
// clients, servers, discovery and the counter. They follow PROTOCOL-spanstair.md. Every address is
// a loopback address. All calls block; each connection of a stand-in has its own thread.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stage {

// Seconds since the start of the program, of a clock that is never set.
double now();
void sleep_for(double seconds);
void sleep_until(double time);
// Whether the run includes the disruption: false if the environment variable TROUBLE is 0.
bool trouble();

// The file record.txt. Each line begins with the time.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;
  std::string header(const std::string& name) const;
  int status() const;          // of a response; 0 if there is none
  std::string target() const;  // of a request
};

// A TCP connection. All times are times of now(); a function that has a deadline returns false when
// the deadline has passed or the peer has ended the connection.
class Connection {
 public:
  Connection() = default;
  explicit Connection(int fd) : fd_(fd) {}
  Connection(Connection&& other) noexcept;
  Connection& operator=(Connection&& other) noexcept;
  ~Connection() { close(); }

  static Connection to(std::uint16_t port);
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  std::uint16_t local_port() const;

  bool write(const std::string& bytes, double deadline);
  // Writes what the system takes at once and returns its size; -1 if the connection has ended.
  long write_some(const char* bytes, std::size_t size);
  // Reads a request or a response. If it ends early, `message` holds the part that came.
  bool read_message(Message& message, double deadline);
  // Waits for more input and appends it to the buffer.
  bool read_more(double deadline);
  // Whether the peer has ended the connection, by an end or a reset.
  bool peer_has_ended() const;
  std::string& buffer() { return buffer_; }
  void close();
  void reset();  // closes with a reset

 private:
  int fd_ = -1;
  std::string buffer_;
};

// A listening socket on 127.0.0.1 with a free port.
class Listener {
 public:
  explicit Listener(int backlog = 512, int receive_buffer = 0);
  ~Listener();
  std::uint16_t port() const { return port_; }
  int accept(double deadline);  // -1 after the deadline
  void end();

 private:
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

// Accepts connections and gives each one to `on_connection` on a thread of its own.
class Acceptor {
 public:
  Acceptor(std::function<void(Connection&)> on_connection, int backlog = 512,
           int receive_buffer = 0);
  ~Acceptor();
  std::uint16_t port() const { return listener_.port(); }

 private:
  void run();
  std::function<void(Connection&)> on_connection_;
  Listener listener_;
  std::atomic<bool> ended_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<int> active_{0};
  std::thread thread_;
};

// Discovery: one agent that answers a watch with the whole list, then an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::vector<std::string> entries);
  std::uint16_t port() const { return acceptor_.port(); }
  std::string list() const;
  static std::string entry(const std::string& id, std::uint16_t port, int cell = 1);

 private:
  std::vector<std::string> entries_;
  Acceptor acceptor_;
};

// The counter: CNT.ADD, PING, CLIENT and SELECT.
class Counter {
 public:
  Counter();
  std::uint16_t port() const { return acceptor_.port(); }

 private:
  std::mutex mutex_;
  std::map<std::string, double> totals_;
  Acceptor acceptor_;
};

// The settings that a case may choose; the others are those of the example in WIRE-spanstair.md.
struct Settings {
  std::string classes;  // the JSON objects of "Classes"
  bool may_cancel = true;
  long connection_idle_us = 30'000'000;
  long dial_timeout_us = 250'000;
  int memory_mb = 192;
  int sockets = 1024;
};

// One gateway, started with the command `run` of the deploy file.
class Gateway {
 public:
  Gateway(const Settings& settings, const Discovery& discovery, const Counter& counter);
  ~Gateway();  // kills the process
  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  // Waits until GET /_health is answered with 200.
  bool wait_until_ready(double deadline) const;
  bool runs();
  // A value of /proc/PID/status in KiB, such as "VmRSS" or "RssAnon"; 0 if the process has ended.
  long status_kib(const std::string& name) const;
  void signal(int number) const;

 private:
  std::uint16_t port_ = 0;
  pid_t pid_ = -1;
  bool ended_ = false;
};

// The head of a client's request, without the empty line. The trace id is new with each call.
struct RequestHead {
  std::string trace_id;
  std::string text;
};
RequestHead request_head(const std::string& method, const std::string& request_class, int customer,
                         int timeout_ms, const std::string& plan = "warehouse");
std::string new_trace_id();
std::string response(int status, const std::string& body, const std::string& headers = "");

// Runs a case: calls it with the record of argv[1], turns an exception into the exit code 2.
int run_case(int argc, char** argv, const std::function<int(Record&)>& body);
// Ends the case with exit code 2.
[[noreturn]] void cannot_run(const std::string& reason);

}  // namespace stage
