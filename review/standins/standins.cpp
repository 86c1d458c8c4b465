#include "standins.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <utility>

namespace review {
namespace {

const auto kStart = std::chrono::steady_clock::now();

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::uint16_t port_of(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool wait_for(int descriptor, short events, double limit) {
  pollfd query{descriptor, events, 0};
  return ::poll(&query, 1, int(std::max(0.0, limit))) > 0;
}

void reset_on_close(int descriptor) {
  const linger option{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), ::tolower);
  return text;
}

// The value of a key in deploy/balancer.toml.
std::string deploy_value(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(key + " = \"", 0) == 0) {
      const auto begin = line.find('"') + 1;
      return line.substr(begin, line.rfind('"') - begin);
    }
  }
  cannot_run("deploy/balancer.toml has no line '" + key + "'");
}

}  // namespace

double now_ms() {
  const auto elapsed = std::chrono::steady_clock::now() - kStart;
  return std::chrono::duration<double, std::milli>(elapsed).count();
}

void sleep_ms(double duration) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(std::max(0.0, duration)));
}

Record::Record(const std::string& path)
    : file_(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {
  if (file_ < 0) {
    cannot_run("cannot write " + path);
  }
}

void Record::line(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%10.1f ms  ", now_ms());
  const std::lock_guard lock(mutex_);
  const std::string bytes = time + text + "\n";
  if (::write(file_, bytes.data(), bytes.size()) < 0) {
    std::perror("record");
  }
}

// ---- Socket

Socket::Socket(Socket&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

Socket& Socket::operator=(Socket&& other) noexcept {
  close();
  descriptor_ = std::exchange(other.descriptor_, -1);
  return *this;
}

Socket::~Socket() {
  close();
}

Socket Socket::connect(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(descriptor);
    return {};
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return Socket(descriptor);
}

bool Socket::write(const std::string& bytes, double limit) {
  const double ends_at = now_ms() + limit;
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto size =
        ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0) {
      sent += std::size_t(size);
    } else if (errno != EAGAIN || !wait_for(descriptor_, POLLOUT, ends_at - now_ms())) {
      return false;
    }
  }
  return true;
}

Socket::Read Socket::read(std::string& input, double limit, std::size_t size) {
  if (!wait_for(descriptor_, POLLIN, limit)) {
    return Read::kTimeout;
  }
  std::string buffer(size, '\0');
  const auto received = ::recv(descriptor_, buffer.data(), size, 0);
  if (received < 0) {
    return Read::kReset;
  }
  input.append(buffer.data(), std::size_t(received));
  return received == 0 ? Read::kEnd : Read::kData;
}

void Socket::close() {
  if (descriptor_ >= 0) {
    ::close(std::exchange(descriptor_, -1));
  }
}

void Socket::reset() {
  if (descriptor_ >= 0) {
    reset_on_close(descriptor_);
    close();
  }
}

// ---- Listener

Listener::~Listener() {
  stop();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void Listener::start(Handler handler) {
  handler_ = std::move(handler);
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(0);
  if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(descriptor_, 256) != 0) {
    cannot_run("cannot listen on 127.0.0.1");
  }
  port_ = port_of(descriptor_);
  thread_ = std::thread([this] { accept_all(); });
}

void Listener::accept_all() {
  while (!stopped_) {
    if (!wait_for(descriptor_, POLLIN, 5)) {
      continue;
    }
    const int accepted = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    if (stopped_) {
      Socket(accepted).reset();
      return;
    }
    connections_.insert(accepted);
    threads_.emplace_back([this, accepted] {
      Socket socket(accepted);
      handler_(socket);
      const std::lock_guard lock(mutex_);
      connections_.erase(accepted);
      socket.close();
    });
  }
}

void Listener::stop() {
  if (descriptor_ < 0 || stopped_.exchange(true)) {
    return;
  }
  thread_.join();
  ::close(descriptor_);
  const std::lock_guard lock(mutex_);
  for (const int connection : connections_) {
    // Disconnecting with AF_UNSPEC resets the connection while its thread still has the descriptor.
    reset_on_close(connection);
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(connection, &none, sizeof none);
  }
}

// ---- HTTP

bool read_head(Socket& socket, std::string& input, Message& message, double limit) {
  const double ends_at = now_ms() + limit;
  std::size_t end = 0;
  while ((end = input.find("\r\n\r\n")) == std::string::npos) {
    if (socket.read(input, ends_at - now_ms(), 4096) != Socket::Read::kData) {
      return false;
    }
  }
  const std::string head = input.substr(0, end + 2);
  input.erase(0, end + 4);
  std::size_t begin = 0;
  for (std::size_t stop = 0; (stop = head.find("\r\n", begin)) != std::string::npos;
       begin = stop + 2) {
    const std::string line = head.substr(begin, stop - begin);
    const auto colon = line.find(':');
    if (begin == 0) {
      message.first_line = line;
    } else if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers[lower(line.substr(0, colon))] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  return true;
}

Socket::Read read_body(Socket& socket, std::string& input, Message& message, double limit) {
  const double ends_at = now_ms() + limit;
  // Makes sure that `input` holds `size` bytes.
  const auto fill = [&](std::size_t size) {
    while (input.size() < size) {
      const auto result = socket.read(input, ends_at - now_ms());
      if (result != Socket::Read::kData) {
        return result;
      }
    }
    return Socket::Read::kData;
  };
  const auto take = [&](std::size_t size) {
    const auto result = fill(size);
    const std::size_t available = std::min(size, input.size());
    message.body += input.substr(0, available);
    input.erase(0, available);
    return result;
  };
  auto result = Socket::Read::kData;
  if (message.headers.count("transfer-encoding") > 0) {
    while (result == Socket::Read::kData) {
      std::size_t end = 0;
      while ((end = input.find("\r\n")) == std::string::npos) {
        if ((result = fill(input.size() + 1)) != Socket::Read::kData) {
          return result;
        }
      }
      const std::size_t size = std::strtoul(input.substr(0, end).c_str(), nullptr, 16);
      input.erase(0, end + 2);
      if (size > 0 && (result = take(size)) != Socket::Read::kData) {
        return result;
      }
      if ((result = fill(2)) != Socket::Read::kData) {
        return result;
      }
      input.erase(0, 2);
      if (size == 0) {
        break;
      }
    }
  } else if (message.headers.count("content-length") > 0) {
    result = take(std::strtoul(message.headers["content-length"].c_str(), nullptr, 10));
  }
  message.complete = result == Socket::Read::kData;
  return result;
}

// ---- Discovery

void Discovery::start(std::vector<Member> members) {
  members_ = std::move(members);
  listener_.start([this](Socket& socket) { serve(socket); });
}

std::string Discovery::list() const {
  std::string text = R"({"revision":41,"complete":true,"members":[)";
  for (const Member& member : members_) {
    text += (&member == members_.data() ? "" : ",");
    text += R"({"id":")" + member.id + R"(","host_port":")" + member.address +
            R"(","locality":"duluth-bldg","flavor":"two-core","cell":0,"phase":")" + member.phase +
            R"(","size":1.0,"up_since_ms":0})";
  }
  return text + "]}\n";
}

void Discovery::serve(Socket& socket) {
  std::string input;
  Message request;
  while (read_head(socket, input, request, 60'000)) {
    if (request.first_line.find("watch=1") == std::string::npos) {
      const std::string body = list();
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
      continue;
    }
    const auto chunk = [](const std::string& text) {
      char size[20];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return size + text + "\r\n";
    };
    socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list()));
    std::string ignored;
    while (true) {  // an empty line every 2 s
      const auto result = socket.read(ignored, 2000);
      if (result == Socket::Read::kTimeout && socket.write(chunk("\n"))) {
        continue;
      }
      if (result != Socket::Read::kData) {
        return;
      }
    }
  }
}

// ---- Counter

void Counter::start() {
  listener_.start([this](Socket& socket) { serve(socket); });
}

void Counter::serve(Socket& socket) {
  std::string input;
  std::size_t position = 0;
  const auto line = [&]() -> std::string {
    std::size_t end = 0;
    while ((end = input.find("\r\n", position)) == std::string::npos) {
      if (socket.read(input, 60'000) != Socket::Read::kData) {
        return {};
      }
    }
    const std::string text = input.substr(position, end - position);
    position = end + 2;
    return text;
  };
  while (true) {
    const std::string count = line();
    if (count.empty() || count[0] != '*') {
      return;
    }
    std::vector<std::string> words;
    for (int left = std::atoi(count.c_str() + 1); left > 0; --left) {
      line();  // the length; no word holds a line end
      words.push_back(line());
    }
    input.erase(0, std::exchange(position, 0));
    if (!socket.write(execute(words))) {
      return;
    }
  }
}

std::string Counter::execute(const std::vector<std::string>& words) {
  if (words[0] == "PING") {
    return "+PONG\r\n";
  }
  if (words[0] == "CLIENT" || words[0] == "SELECT") {
    return "+OK\r\n";
  }
  if (words[0] != "CNT.ADD" || words.size() != 4) {
    return "-ERR no such call\r\n";
  }
  const std::lock_guard lock(mutex_);
  Number& number = numbers_[words[1]];
  if (now_ms() >= number.ends_at) {
    number = {0, now_ms() + std::min(60'000.0, std::atof(words[3].c_str()))};
  }
  number.total += std::atof(words[2].c_str());
  char text[40];
  const int size = std::snprintf(text, sizeof text, "%.7g", number.total);
  return "$" + std::to_string(size) + "\r\n" + text + "\r\n";
}

// ---- The gateway

GatewayProcess::GatewayProcess(const std::string& name, const std::string& settings,
                               const std::string& discovery, const std::string& counter,
                               int memory_mb, int sockets) {
  const char* parent = std::getenv("TMPDIR");
  directory_ = std::string(parent ? parent : "/tmp") + "/" + name;
  const std::string temporary = directory_ + "/tmp";
  ::mkdir(directory_.c_str(), 0755);
  ::mkdir(temporary.c_str(), 0755);
  port_ = free_port();
  const std::string listen = "127.0.0.1:" + std::to_string(port_);
  const std::string config = directory_ + "/config.json";
  std::ofstream(config) << R"({"name":")" << name << R"(","listen":")" << listen
                        << R"(","discovery":")" << discovery
                        << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
                        << memory_mb << R"(,"sockets":)" << sockets << R"(},"counter":")" << counter
                        << R"(","settings":)" << settings << "}";
  const std::string run = deploy_value("run");
  const std::string log = directory_ + "/log";
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this program in any case
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::setenv("RELAY_NAME", name.c_str(), 1);
    ::setenv("RELAY_LISTEN", listen.c_str(), 1);
    ::setenv("RELAY_DISCOVERY", discovery.c_str(), 1);
    ::setenv("RELAY_CONFIG", config.c_str(), 1);
    ::setenv("TMPDIR", temporary.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
    ::_exit(127);
  }
}

GatewayProcess::~GatewayProcess() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
}

bool GatewayProcess::is_running() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

void GatewayProcess::await_ready() {
  for (int attempt = 0; attempt < 200; ++attempt) {
    Socket socket = Socket::connect(port_);
    std::string input;
    Message answer;
    if (socket.is_open() && socket.write("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n") &&
        read_head(socket, input, answer, 1000) &&
        answer.first_line.find(" 200 ") != std::string::npos) {
      return;
    }
    sleep_ms(50);
  }
  cannot_run("the gateway did not become ready");
}

// ---- Helpers

std::string settings(int position) {
  return R"({"Az":"duluth-bldg","Classes":[
  {"DedupScope":"all","GiveUpUs":5000000,"Importance":3.0,"LateValue":0.0,"Name":"stock-lookup",
   "ObjectiveUs":2000000,"Repeat":"safe","Stream":false,"WindowUs":5000000},
  {"DedupScope":"all","GiveUpUs":2000000,"Importance":9.0,"LateValue":0.0,"Name":"allocate",
   "ObjectiveUs":750000,"Repeat":"unsafe","Stream":false,"WindowUs":5000000}],
 "Extra":{"CostAfter":true,"CountFee":0.01,"CounterTimeoutUs":30000,"Largest":4,"MailPerS":0.0,
  "MeteringUs":1000000,"SharedCounter":true},
 "Family":"gate","Layer":0,
 "Limits":{"ConnIdleUs":30000000,"CpuUsPerRequest":0.0,"CpuUsPerS":400000,"DialTimeoutUs":250000,
  "MaxAttempts":5,"MaxOpen":20000,"MaxRetryAfterUs":1000000,"MaxStreams":32,"MayCancel":true,
  "MayDuplicate":false,"Peers":false,"Probes":true,"RetryAfter":true},
 "MembershipMode":"pushed",
 "Obligations":{"AskWithinUs":10000000,"ColdShare":0.26,"ColdUs":17000000,"GraceToAnswerUs":8000,
  "StopSendingWithinUs":250000,"TipAfterUs":1000000,"TipMultiple":2.5},
 "Position":)" +
         std::to_string(position) + R"(,"ReplicasOfMe":2,
 "Report":{"Fields":["rps"],"How":"on_probe"},"Shapes":["two-core"],"TickUs":2000,
 "Tiers":["stock-fleet"],
 "TiersOfService":[{"CapSlack":4.0,"Depth":50.0,"ExcessWorth":0.0,"HardBurst":0.0,"MaxOut":0,
  "Name":"warehouse","NeverOverRate":0.0,"OverrunCost":1.2,"QuotaRate":25.0,"ValueFactor":1.8}],
 "Weights":"nominal","Zones":["duluth-bldg"]})";
}

std::string allocate_path(int customer) {
  char path[40];
  std::snprintf(path, sizeof path, "/allocate/%016x", unsigned(customer));
  return path;
}

std::uint16_t free_port() {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(0);
  ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const std::uint16_t port = port_of(descriptor);
  ::close(descriptor);
  return port;
}

bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::strcmp(value, "0") != 0;
}

void cannot_run(const std::string& reason) {
  std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
  std::_Exit(2);
}

}  // namespace review
