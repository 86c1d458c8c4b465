// A server runs a request of a class whose repeats the servers discard for a stated window, and its
// connection is reset before the answer. The gateway may send the request again only inside the
// window. The connection for that comes up late. Without the disruption no connection comes up
// late.
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../../standins-2/stage.hpp"

using namespace stage;

namespace {

constexpr int kServers = 4;
constexpr int kTries = 14;
constexpr int kOthers = 4;       // requests beside each try that meet no disruption
constexpr double kWindow = 1.0;  // s; WindowUs in the settings
constexpr double kSlack = 0.05;  // s; by which every time limit of the rules is longer on sockets
constexpr double kResetAfter = 0.3;  // s; from the arrival of the first attempt to its reset
constexpr double kLate = 0.6;        // s; for which a connection does not come up after that
constexpr int kTimeout = 4000;       // ms; X-Expires-In

struct Run {
  double at = 0;
  int server = 0;
};

// A request of the class, as its servers see it.
struct Seen {
  int attempts = 0;
  double first_at = 0;  // when a server had its first attempt
  std::vector<Run> runs;
};

struct Stage;

// A server. Its listening socket can be kept from completing connections: its queue is filled and
// nothing is accepted, as on a machine that is too busy to take connections.
class Server {
 public:
  Server(Stage& stage, int number);
  ~Server();
  std::uint16_t port() const { return port_; }
  void stop_accepting();
  void go_on_accepting();

 private:
  void accept_all();

  Stage& stage_;
  const int number_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::mutex mutex_;
  bool accepting_ = true;
  std::vector<int> fillers_;
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

struct Stage {
  Record& record;
  std::mutex mutex;
  std::map<std::string, Seen> requests;  // by trace id
  std::string try_id;                    // the request of the present try
  int try_server = -1;                   // the server that had its first attempt
  double try_ends_at = 0;                // when its client stops waiting
  int connections = 0;                   // of the gateway
  std::vector<std::unique_ptr<Server>> servers;
  std::atomic<int> active{0};

  void serve(int number, Connection connection);
};

void Stage::serve(int number, Connection connection) {
  Message request;
  while (connection.read_message(request, now() + 5)) {
    const std::string id = request.header("x-trace-id");
    bool is_first_of_try = false;
    bool runs = false;
    {
      const std::lock_guard lock(mutex);
      Seen& seen = requests[id];
      const double at = now();
      // The servers of the group share what keys they have seen, for the window from the first
      // attempt.
      runs = seen.attempts == 0 || at - seen.first_at > kWindow + kSlack;
      if (seen.attempts++ == 0) {
        seen.first_at = at;
      }
      if (runs) {
        seen.runs.push_back({at, number});
      }
      is_first_of_try = id == try_id && try_server < 0;
      if (is_first_of_try) {
        try_server = number;
      }
      if (id == try_id) {
        record.line(
            "  server %d: attempt %d of %s, %.3f s after the first: %s (told %.3f s, the client "
            "waits %.3f s)",
            number, seen.attempts, id.c_str(), at - seen.first_at,
            runs ? "runs it" : "discards the repeat",
            std::atof(request.header("x-expires-in").c_str()) / 1e6, try_ends_at - at);
      }
    }
    if (is_first_of_try) {
      if (trouble()) {
        for (int i = 0; i < kServers; ++i) {
          if (i != number) {
            servers[i]->stop_accepting();
          }
        }
      }
      sleep_for(kResetAfter);
      connection.reset();
      record.line("  server %d: connection reset", number);
      if (trouble()) {
        sleep_for(kLate);
        for (auto& server : servers) {
          server->go_on_accepting();
        }
      }
      return;
    }
    sleep_for(0.02);
    // Every answer ends its connection, so that the next attempt needs a new one.
    if (!connection.write(response(200, id + "\n", "Connection: close\r\n"), now() + 5)) {
      return;
    }
    return;
  }
}

Server::Server(Stage& stage, int number) : stage_(stage), number_(number) {
  fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::listen(fd_, 128) != 0 ||
      ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    cannot_run("cannot listen on a loopback address");
  }
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { accept_all(); });
}

Server::~Server() {
  ended_ = true;
  thread_.join();
  ::close(fd_);
}

void Server::accept_all() {
  while (!ended_) {
    int accepted = -1;
    {
      const std::lock_guard lock(mutex_);
      if (accepting_) {
        accepted = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      }
    }
    if (accepted < 0) {
      sleep_for(0.001);
      continue;
    }
    {
      const std::lock_guard lock(stage_.mutex);
      ++stage_.connections;
    }
    ++stage_.active;
    std::thread([this, accepted] {
      stage_.serve(number_, Connection(accepted));
      --stage_.active;
    }).detach();
  }
}

void Server::stop_accepting() {
  const std::lock_guard lock(mutex_);
  accepting_ = false;
  ::listen(fd_, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int i = 0; i < 4; ++i) {
    fillers_.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    ::connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
}

void Server::go_on_accepting() {
  const std::lock_guard lock(mutex_);
  if (accepting_) {
    return;
  }
  ::listen(fd_, 128);
  for (const int filler : fillers_) {
    ::close(filler);
  }
  // What the queue holds now are the connections of the stand-in itself.
  for (int accepted = 0; (accepted = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
    ::close(accepted);
  }
  fillers_.clear();
  accepting_ = true;
}

// Sends one request on a connection of its own and returns the status of the answer.
int send(const Gateway& gateway, const RequestHead& head) {
  Connection client = Connection::to(gateway.port());
  Message answer;
  const std::string body = "pallets=3\n";
  const bool answered =
      client.write(head.text + "Idempotency-Key: " + head.trace_id +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                   now() + 1) &&
      client.read_message(answer, now() + kTimeout / 1e3 + 0.5);
  return answered ? answer.status() : 0;
}

int run(Record& record) {
  Stage stage{.record = record, .mutex = {}, .requests = {}, .try_id = {}, .servers = {}};
  std::vector<std::string> entries;
  for (int i = 0; i < kServers; ++i) {
    stage.servers.push_back(std::make_unique<Server>(stage, i));
    entries.push_back(Discovery::entry("s" + std::to_string(i), stage.servers.back()->port(), i));
  }
  const Discovery discovery(entries);
  const Counter counter;
  Settings settings;
  settings.dial_timeout_us = 1'500'000;
  settings.classes =
      R"({"DedupScope":"all","GiveUpUs":4000000,"Importance":9.0,"LateValue":0.0,"Name":"allocate","ObjectiveUs":3500000,"Repeat":"keyed","Stream":false,"WindowUs":1000000})";
  Gateway gateway(settings, discovery, counter);
  if (!gateway.wait_until_ready(now() + 30)) {
    cannot_run("the gateway is not ready");
  }

  int repeated = 0;
  int twice = 0;
  int all_twice = 0;
  for (int i = 0; i < kTries && now() < 95; ++i) {
    std::vector<std::thread> others;
    const RequestHead head = request_head("POST", "allocate", 1 + i, kTimeout);
    {
      const std::lock_guard lock(stage.mutex);
      stage.try_id = "";
    }
    for (int k = 0; k < kOthers; ++k) {
      others.emplace_back(
          [&gateway, k] { send(gateway, request_head("POST", "allocate", 100 + k, kTimeout)); });
    }
    for (std::thread& other : others) {
      other.join();
    }
    {
      const std::lock_guard lock(stage.mutex);
      stage.try_id = head.trace_id;
      stage.try_server = -1;
      stage.try_ends_at = now() + kTimeout / 1e3;
    }
    const int status = send(gateway, head);
    sleep_for(1);  // until no attempt can be out and every server takes connections
    const std::lock_guard lock(stage.mutex);
    const Seen& seen = stage.requests[head.trace_id];
    repeated += seen.attempts > 1;
    twice += seen.runs.size() > 1;
    record.line("request %s: %d attempts came to servers, run %zu times, answered %d",
                head.trace_id.c_str(), seen.attempts, seen.runs.size(), status);
  }
  const std::lock_guard lock(stage.mutex);
  for (const auto& [id, seen] : stage.requests) {
    all_twice += seen.runs.size() > 1;
  }
  record.line(
      "%d requests, %d connections of the gateway, %d of them late; %d tries had a second attempt; "
      "%d "
      "requests ran twice, %d of them in tries",
      int(stage.requests.size()), stage.connections, trouble() ? repeated : 0, repeated, all_twice,
      twice);
  if (repeated == 0) {
    cannot_run("the gateway has repeated no request");
  }
  return all_twice > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, run);
}
