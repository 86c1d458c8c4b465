#include "stage.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace stage {
namespace {

const auto started_at = std::chrono::steady_clock::now();

int remaining_ms(double deadline) {
  return std::max(0, int((deadline - now()) * 1000) + 1);
}

bool wait_for(int fd, short events, double deadline) {
  while (true) {
    pollfd query{fd, events, 0};
    const int ready = ::poll(&query, 1, remaining_ms(deadline));
    if (ready > 0) {
      return true;
    }
    if (ready == 0 || errno != EINTR) {
      return false;
    }
  }
}

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void set_option(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof value);
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string chunk(const std::string& text) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

// The value of a key of deploy/balancer.toml that holds a plain string.
std::string deploy_value(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(key + " = \"", 0) == 0) {
      const auto begin = line.find('"') + 1;
      return line.substr(begin, line.find('"', begin) - begin);
    }
  }
  cannot_run("deploy/balancer.toml has no key " + key);
}

}  // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
}

void sleep_for(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

void sleep_until(double time) {
  sleep_for(time - now());
}

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void cannot_run(const std::string& reason) {
  throw std::runtime_error(reason);
}

// ---- Record

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr) {
    cannot_run("cannot write " + path);
  }
  std::setvbuf(file_, nullptr, _IOLBF, 0);
}

Record::~Record() {
  std::fclose(file_);
}

void Record::line(const char* format, ...) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f s  ", now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(file_, format, arguments);
  va_end(arguments);
  std::fputc('\n', file_);
}

// ---- Messages

std::string Message::header(const std::string& name) const {
  const auto found = headers.find(lower(name));
  return found == headers.end() ? "" : found->second;
}

int Message::status() const {
  return start_line.rfind("HTTP/", 0) == 0 ? std::atoi(start_line.c_str() + 9) : 0;
}

std::string Message::target() const {
  const auto begin = start_line.find(' ') + 1;
  return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

// ---- Connection

Connection::Connection(Connection&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), buffer_(std::move(other.buffer_)) {}

Connection& Connection::operator=(Connection&& other) noexcept {
  if (this != &other) {
    close();
    fd_ = std::exchange(other.fd_, -1);
    buffer_ = std::move(other.buffer_);
  }
  return *this;
}

Connection Connection::to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (fd >= 0) {
      ::close(fd);
    }
    return {};
  }
  set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  return Connection(fd);
}

std::uint16_t Connection::local_port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

long Connection::write_some(const char* bytes, std::size_t size) {
  const auto written = ::send(fd_, bytes, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (written >= 0) {
    return written;
  }
  return errno == EAGAIN || errno == EINTR ? 0 : -1;
}

bool Connection::write(const std::string& bytes, double deadline) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const long size = write_some(bytes.data() + written, bytes.size() - written);
    if (size < 0 || (size == 0 && !wait_for(fd_, POLLOUT, deadline))) {
      return false;
    }
    written += std::size_t(size);
  }
  return true;
}

bool Connection::read_more(double deadline) {
  char bytes[65536];
  while (is_open() && wait_for(fd_, POLLIN, deadline)) {
    const auto size = ::recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
    if (size > 0) {
      buffer_.append(bytes, std::size_t(size));
      return true;
    }
    if (size == 0 || (errno != EAGAIN && errno != EINTR)) {
      return false;
    }
  }
  return false;
}

bool Connection::read_message(Message& message, double deadline) {
  message = {};
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more(deadline)) {
      return false;
    }
  }
  std::istringstream head(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  std::getline(head, message.start_line);
  message.start_line = message.start_line.substr(0, message.start_line.find('\r'));
  for (std::string line; std::getline(head, line);) {
    const auto colon = line.find(':');
    const auto begin = line.find_first_not_of(' ', colon + 1);
    message.headers[lower(line.substr(0, colon))] =
        begin == std::string::npos ? "" : line.substr(begin, line.find('\r') - begin);
  }
  if (message.header("transfer-encoding") == "chunked") {
    while (true) {
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!read_more(deadline)) {
          return false;
        }
      }
      const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!read_more(deadline)) {
          message.body += buffer_.substr(end + 2);
          return false;
        }
      }
      message.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return message.complete = true;
      }
    }
  }
  const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  message.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  while (message.body.size() < length) {
    if (!read_more(deadline)) {
      return false;
    }
    const std::size_t size = std::min(buffer_.size(), length - message.body.size());
    message.body.append(buffer_, 0, size);
    buffer_.erase(0, size);
  }
  return message.complete = true;
}

bool Connection::peer_has_ended() const {
  pollfd query{fd_, POLLRDHUP, 0};
  return ::poll(&query, 1, 0) > 0;
}

void Connection::close() {
  if (fd_ >= 0) {
    ::close(std::exchange(fd_, -1));
  }
}

void Connection::reset() {
  if (fd_ >= 0) {
    const linger at_once{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
}

// ---- Listening

Listener::Listener(int backlog, int receive_buffer)
    : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (receive_buffer > 0) {
    set_option(fd_, SOL_SOCKET, SO_RCVBUF, receive_buffer);
  }
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(fd_, backlog) != 0 ||
      ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    cannot_run("cannot listen on a loopback address");
  }
  port_ = ntohs(address.sin_port);
}

Listener::~Listener() {
  end();
}

void Listener::end() {
  if (fd_ >= 0) {
    ::close(std::exchange(fd_, -1));
  }
}

int Listener::accept(double deadline) {
  if (!wait_for(fd_, POLLIN, deadline)) {
    return -1;
  }
  const int accepted = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted >= 0) {
    set_option(accepted, IPPROTO_TCP, TCP_NODELAY, 1);
  }
  return accepted;
}

Acceptor::Acceptor(std::function<void(Connection&)> on_connection, int backlog, int receive_buffer)
    : on_connection_(std::move(on_connection)),
      listener_(backlog, receive_buffer),
      thread_([this] { run(); }) {}

Acceptor::~Acceptor() {
  ended_ = true;
  thread_.join();
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }
  const double deadline = now() + 3;
  while (active_ > 0 && now() < deadline) {
    sleep_for(0.01);
  }
}

void Acceptor::run() {
  while (!ended_) {
    const int fd = listener_.accept(now() + 0.05);
    if (fd < 0) {
      continue;
    }
    ++active_;
    {
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
    }
    std::thread([this, fd] {
      Connection connection(fd);
      on_connection_(connection);
      {
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
      }
      connection.close();
      --active_;
    }).detach();
  }
}

// ---- Discovery and counter

Discovery::Discovery(std::vector<std::string> entries)
    : entries_(std::move(entries)), acceptor_([this](Connection& connection) {
        Message request;
        if (!connection.read_message(request, now() + 120)) {
          return;
        }
        const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        bool open = connection.write(head + chunk(list() + "\n"), now() + 5);
        while (open) {
          open = !connection.read_more(now() + 2) && !connection.peer_has_ended() &&
                 connection.write(chunk("\n"), now() + 5);
        }
      }) {}

std::string Discovery::list() const {
  std::string text = R"({"revision":41,"complete":true,"members":[)";
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    text += (i > 0 ? "," : "") + entries_[i];
  }
  return text + "]}";
}

std::string Discovery::entry(const std::string& id, std::uint16_t port, int cell) {
  return R"({"id":")" + id + R"(","host_port":"127.0.0.1:)" + std::to_string(port) +
         R"(","locality":"duluth-bldg","flavor":"two-core","cell":)" + std::to_string(cell) +
         R"(,"phase":"up","size":1.0,"up_since_ms":0})";
}

Counter::Counter()
    : acceptor_([this](Connection& connection) {
        std::string& buffer = connection.buffer();
        while (true) {
          // One command: an array of bulk strings.
          std::vector<std::string> words;
          std::size_t position = 0;
          const auto line = [&](std::string& text) {
            std::size_t end = 0;
            while ((end = buffer.find("\r\n", position)) == std::string::npos) {
              if (!connection.read_more(now() + 120)) {
                return false;
              }
            }
            text = buffer.substr(position, end - position);
            position = end + 2;
            return true;
          };
          std::string text;
          if (!line(text)) {
            return;
          }
          const int count = std::atoi(text.c_str() + 1);
          for (int i = 0; i < count; ++i) {
            if (!line(text)) {
              return;
            }
            const std::size_t size = std::strtoul(text.c_str() + 1, nullptr, 10);
            while (buffer.size() < position + size + 2) {
              if (!connection.read_more(now() + 120)) {
                return;
              }
            }
            words.push_back(buffer.substr(position, size));
            position += size + 2;
          }
          buffer.erase(0, position);
          std::string reply = "+OK\r\n";
          if (words[0] == "PING") {
            reply = "+PONG\r\n";
          } else if (words[0] == "CNT.ADD" && words.size() == 4) {
            const std::lock_guard lock(mutex_);
            char total[64];
            std::snprintf(total, sizeof total, "%.7g",
                          totals_[words[1]] += std::atof(words[2].c_str()));
            reply = "$" + std::to_string(std::strlen(total)) + "\r\n" + total + "\r\n";
          }
          if (!connection.write(reply, now() + 5)) {
            return;
          }
        }
      }) {}

// ---- The gateway

namespace {

std::string config_json(const Settings& settings, std::uint16_t port, const Discovery& discovery,
                        const Counter& counter) {
  std::ostringstream text;
  text
      << R"({"name":"n0","listen":"127.0.0.1:)" << port << R"(","discovery":"127.0.0.1:)"
      << discovery.port() << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
      << settings.memory_mb << R"(,"sockets":)" << settings.sockets << R"(},"counter":"127.0.0.1:)"
      << counter.port() << R"(","known":)" << discovery.list()
      << R"(,"settings":{"Az":"duluth-bldg","Classes":[)" << settings.classes
      << R"(],"ClientHabits":{"MarksRetry":false},
"Extra":{"CostAfter":false,"CountFee":0.01,"CounterTimeoutUs":30000,"Largest":4,"MailPerS":0.0,
"MeteringUs":0,"SharedCounter":true},"Family":"gate","Layer":0,
"Limits":{"ConnIdleUs":)"
      << settings.connection_idle_us
      << R"(,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeoutUs":)" << settings.dial_timeout_us
      << R"(,"MaxAttempts":5,"MaxOpen":20000,"MaxRetryAfterUs":1000000,"MaxStreams":32,"MayCancel":)"
      << (settings.may_cancel ? "true" : "false")
      << R"(,"MayDuplicate":false,"Peers":false,"Probes":true,"RetryAfter":true},
"MembershipMode":"pushed",
"Obligations":{"AskWithinUs":10000000,"ColdShare":0.26,"ColdUs":17000000,"GraceToAnswerUs":8000,
"StopSendingWithinUs":250000,"TipAfterUs":1000000,"TipMultiple":2.5},"Position":0,"ReplicasOfMe":1,
"Report":{"Fields":["rps"],"How":"on_probe"},"Shapes":["two-core"],"TickUs":2000,
"Tiers":["stock-fleet"],"TiersOfService":[{"CapSlack":0.0,"Depth":2000.0,"ExcessWorth":0.0,
"HardBurst":0.0,"MaxOut":0,"Name":"warehouse","NeverOverRate":0.0,"OverrunCost":1.2,
"QuotaRate":1000.0,"ValueFactor":1.8}],"Weights":"nominal","Zones":["duluth-bldg"]}})";
  return text.str();
}

}  // namespace

Gateway::Gateway(const Settings& settings, const Discovery& discovery, const Counter& counter) {
  {
    Listener free_port;
    port_ = free_port.port();
  }
  const char* directory = std::getenv("TMPDIR");
  const std::string folder = directory != nullptr ? directory : "/tmp";
  const std::string config_path = folder + "/config.json";
  const std::string private_directory = folder + "/gateway";
  const std::string log_path = folder + "/log";
  std::ofstream(config_path) << config_json(settings, port_, discovery, counter);
  const std::string run = deploy_value("run");
  const std::string listen = "127.0.0.1:" + std::to_string(port_);
  const std::string discovery_address = "127.0.0.1:" + std::to_string(discovery.port());
  const std::string make_directory = "mkdir -p '" + private_directory + "'";
  if (std::system(make_directory.c_str()) != 0) {
    cannot_run("cannot create a temporary folder");
  }
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(127);
    }
    const int log = ::open(log_path.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("RELAY_NAME", "n0", 1);
    ::setenv("RELAY_LISTEN", listen.c_str(), 1);
    ::setenv("RELAY_DISCOVERY", discovery_address.c_str(), 1);
    ::setenv("RELAY_CONFIG", config_path.c_str(), 1);
    ::setenv("TMPDIR", private_directory.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
    ::_exit(127);
  }
}

Gateway::~Gateway() {
  if (!ended_) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

bool Gateway::wait_until_ready(double deadline) const {
  while (now() < deadline) {
    Connection connection = Connection::to(port_);
    Message answer;
    if (connection.is_open() &&
        connection.write("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n", now() + 1) &&
        connection.read_message(answer, now() + 1) && answer.status() == 200) {
      return true;
    }
    sleep_for(0.05);
  }
  return false;
}

bool Gateway::runs() {
  if (!ended_ && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    ended_ = true;
  }
  return !ended_;
}

long Gateway::status_kib(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(name + ":", 0) == 0) {
      return std::atol(line.c_str() + name.size() + 1);
    }
  }
  return 0;
}

void Gateway::signal(int number) const {
  ::kill(pid_, number);
}

// ---- Clients

std::string new_trace_id() {
  static std::atomic<std::uint64_t> last{0x9b1f03aa00000000};
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
  return text;
}

RequestHead request_head(const std::string& method, const std::string& request_class, int customer,
                         int timeout_ms, const std::string& plan) {
  char path[32];
  std::snprintf(path, sizeof path, "%016x", unsigned(customer));
  RequestHead head;
  head.trace_id = new_trace_id();
  head.text = method + " /" + request_class + "/" + path +
              " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + head.trace_id +
              "\r\nPlan: " + plan + "\r\nX-Expires-In: " + std::to_string(timeout_ms) +
              "m\r\nQuota-Info: units=1,spread=1,first=0\r\n";
  return head;
}

std::string response(int status, const std::string& body, const std::string& headers) {
  const std::string reason = status == 200 ? "OK" : status == 503 ? "Service Unavailable" : "Error";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The program

int run_case(int argc, char** argv, const std::function<int(Record&)>& body) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
    return 2;
  }
  try {
    Record record(argv[1]);
    record.line("%s the disruption", trouble() ? "with" : "without");
    try {
      const int result = body(record);
      record.line("result: %s", result == 0 ? "the rule held" : "the rule was broken");
      return result;
    } catch (const std::exception& e) {
      record.line("the case could not run: %s", e.what());
      return 2;
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}

}  // namespace stage
