// Stand-ins for the parties around one gateway process: discovery, the counter, stock servers and
// clients. They follow PROTOCOL-spanstair.md. Everything listens on 127.0.0.1 and on a free port.
// Each stand-in serves its connections from threads of its own.
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

namespace review {

// Milliseconds since the start of the program.
double now_ms();
void sleep_ms(double duration);

// The file record.txt, to which every stand-in writes what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);
  void line(const std::string& text);

 private:
  std::mutex mutex_;
  int file_;
};

// A blocking TCP socket with time limits. Closes itself.
class Socket {
 public:
  enum class Read { kData, kEnd, kReset, kTimeout };

  Socket() = default;
  explicit Socket(int descriptor) : descriptor_(descriptor) {}
  Socket(Socket&& other) noexcept;
  Socket& operator=(Socket&& other) noexcept;
  ~Socket();

  static Socket connect(std::uint16_t port);
  bool is_open() const { return descriptor_ >= 0; }
  int descriptor() const { return descriptor_; }
  // Returns whether all bytes were handed to the system within `limit` ms.
  bool write(const std::string& bytes, double limit = 5000);
  // Appends received bytes, `size` at most, to `input`.
  Read read(std::string& input, double limit, std::size_t size = 65536);
  void close();
  // Closes with a reset.
  void reset();

 private:
  int descriptor_ = -1;
};

// A listener with one thread for each connection.
class Listener {
 public:
  using Handler = std::function<void(Socket&)>;

  Listener() = default;
  ~Listener();
  void start(Handler handler);
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  // Stops listening and resets all connections, as the system does when a process dies.
  void stop();

 private:
  void accept_all();

  Handler handler_;
  std::uint16_t port_ = 0;
  int descriptor_ = -1;
  std::atomic<bool> stopped_{false};
  std::thread thread_;
  std::mutex mutex_;
  std::set<int> connections_;
  std::vector<std::thread> threads_;
};

// An HTTP message without interpretation of its content.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;
};

// Reads the head of a message from `socket`. `input` holds bytes read ahead.
bool read_head(Socket& socket, std::string& input, Message& message, double limit);
// Reads the body after the head.
Socket::Read read_body(Socket& socket, std::string& input, Message& message, double limit);

// One server in the list of discovery.
struct Member {
  std::string id;
  std::string address;
  std::string phase = "up";
};

// The discovery agent.
class Discovery {
 public:
  void start(std::vector<Member> members);
  std::string address() const { return listener_.address(); }

 private:
  void serve(Socket& socket);
  std::string list() const;

  std::vector<Member> members_;
  Listener listener_;
};

// The counter service.
class Counter {
 public:
  void start();
  std::string address() const { return listener_.address(); }

 private:
  void serve(Socket& socket);
  std::string execute(const std::vector<std::string>& words);

  struct Number {
    double total = 0;
    double ends_at = 0;
  };
  std::mutex mutex_;
  std::map<std::string, Number> numbers_;
  Listener listener_;
};

// A gateway process, started with the line `run` of deploy/balancer.toml.
class GatewayProcess {
 public:
  GatewayProcess(const std::string& name, const std::string& settings, const std::string& discovery,
                 const std::string& counter, int memory_mb, int sockets);
  ~GatewayProcess();
  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  bool is_running();
  // Waits until GET /_health is answered with 200. Ends the program with 2 if it is not.
  void await_ready();

 private:
  std::string directory_;
  std::uint16_t port_ = 0;
  pid_t pid_ = -1;
};

// The settings of the example in WIRE-spanstair.md for one of two gateways, with the classes
// `stock-lookup` (safe to repeat) and `allocate` (unsafe) and the plan `warehouse`.
std::string settings(int position);
std::string allocate_path(int customer);
// A free port, which the caller must use at once.
std::uint16_t free_port();
// False with TROUBLE=0.
bool has_trouble();
// Ends the program: the case could not run.
[[noreturn]] void cannot_run(const std::string& reason);

}  // namespace review
