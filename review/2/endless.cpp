// Case 2: one server sends one answer that never ends, and the gateway keeps all of it. See
// claim.txt.
#include <signal.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>

#include "../standins/standins.hpp"

namespace {

using namespace review;

constexpr int kServers = 4;
constexpr int kMemoryMb = 192;
constexpr int kBystanders = 4;
// The endless answer arrives at the rate of a network of 1 Gbit/s.
constexpr double kBytesPerMs = 125'000;
constexpr double kObservedMs = 6000;

// A server that works for 100 ms on each request and answers 200. The request of the client with
// the endless answer is told by its id.
class StockServer {
 public:
  StockServer(Record& record, std::string id) : record_(record), id_(std::move(id)) {
    listener_.start([this](Socket& socket) { serve(socket); });
  }

  Member member() const { return {id_, listener_.address()}; }

 private:
  void serve(Socket& socket) {
    std::string input;
    while (true) {
      Message request;
      if (!read_head(socket, input, request, 100'000)) {
        return;
      }
      read_body(socket, input, request, 10'000);
      const std::string& trace_id = request.headers["x-trace-id"];
      if (has_trouble() && trace_id == "e000000000000000" && !spoilt_.exchange(true)) {
        return answer_endlessly(socket);
      }
      sleep_ms(100);
      const std::string body = "ran " + trace_id;
      record_.line(id_ + " " + body);
      if (!socket.write("HTTP/1.1 200 OK\r\nBilled-Units: 1\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  // A chunk extension has no end.
  void answer_endlessly(Socket& socket) {
    record_.line(id_ + " begins an answer that never ends");
    socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;");
    const std::string piece(125'000, 'x');
    const double begun_at = now_ms();
    double sent = 0;
    while (socket.write(piece)) {
      sent += double(piece.size());
      sleep_ms(begun_at + sent / kBytesPerMs - now_ms());
    }
    char text[80];
    std::snprintf(text, sizeof text, " sent %.0f MB until the connection ended", sent / 1e6);
    record_.line(id_ + text);
  }

  Record& record_;
  const std::string id_;
  Listener listener_;
  static std::atomic<bool> spoilt_;
};

std::atomic<bool> StockServer::spoilt_{false};

// The platform: kills a gateway that needs more memory than its configuration states.
class Platform {
 public:
  Platform(Record& record, GatewayProcess& gateway)
      : record_(record), pid_(gateway.pid()), thread_([this] { watch(); }) {}
  ~Platform() {
    ended_ = true;
    thread_.join();
  }
  bool has_killed() const { return killed_; }
  double peak_mb() const { return peak_mb_; }

 private:
  void watch() {
    while (!ended_ && !killed_) {
      const double memory_mb = resident_mb();
      peak_mb_ = std::max<double>(peak_mb_, memory_mb);
      if (memory_mb > kMemoryMb) {
        char text[80];
        std::snprintf(text, sizeof text, "platform: the gateway uses %.0f MB of %d MB; killed",
                      memory_mb, kMemoryMb);
        record_.line(text);
        ::kill(pid_, SIGKILL);
        killed_ = true;
      }
      sleep_ms(10);
    }
  }

  double resident_mb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    while (file >> word) {
      if (word == "VmRSS:") {
        double kilobytes = 0;
        file >> kilobytes;
        return kilobytes / 1024;
      }
    }
    return 0;
  }

  Record& record_;
  const pid_t pid_;
  std::atomic<bool> ended_{false};
  std::atomic<bool> killed_{false};
  std::atomic<double> peak_mb_{0};
  std::thread thread_;
};

std::string request(const std::string& line, const std::string& id, int milliseconds) {
  return line + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
         "\r\nPlan: warehouse\r\nX-Expires-In: " + std::to_string(milliseconds) +
         "m\r\nQuota-Info: units=1,spread=2,first=0\r\n" +
         (line[0] == 'P' ? "Content-Length: 0\r\n" : "") + "\r\n";
}

// Sends a request and returns the first line of the answer.
std::optional<std::string> ask(Record& record, std::uint16_t port, const std::string& line,
                               const std::string& id, int milliseconds) {
  Socket client = Socket::connect(port);
  if (!client.is_open()) {
    record.line("client: no connection for " + id);
    return std::nullopt;
  }
  client.write(request(line, id, milliseconds));
  Message answer;
  std::string input;
  const bool answered = read_head(client, input, answer, milliseconds + 550.0);
  record.line("client: " + id + ": " + (answered ? answer.first_line : "no answer"));
  return answered ? std::optional(answer.first_line) : std::nullopt;
}

}  // namespace

int main(int, char** arguments) {
  Record record(arguments[1]);
  std::vector<std::unique_ptr<StockServer>> servers;
  std::vector<Member> members;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<StockServer>(record, "s-0000000" + std::to_string(i)));
    members.push_back(servers.back()->member());
  }
  Discovery discovery;
  discovery.start(members);
  Counter counter;
  counter.start();
  GatewayProcess gateway("n0", settings(0), discovery.address(), counter.address(), kMemoryMb,
                         1024);
  gateway.await_ready();
  sleep_ms(500);

  std::atomic<int> unanswered{0};
  std::atomic<bool> ended{false};
  std::optional<Platform> platform(std::in_place, record, gateway);
  std::vector<std::thread> clients;
  clients.emplace_back([&] {
    record.line("client sends the request whose answer never ends, e000000000000000");
    ask(record, gateway.port(), "GET /stock-lookup/0000000000001000", "e000000000000000", 5000);
  });
  for (int i = 0; i < kBystanders; ++i) {
    clients.emplace_back([&, i] {
      for (int number = 0; !ended; ++number) {
        char id[20];
        std::snprintf(id, sizeof id, "b%07x%08x", unsigned(i), unsigned(number));
        unanswered += !ask(record, gateway.port(), "POST " + allocate_path(0x2000 + i), id, 2000);
        sleep_ms(150);
      }
    });
  }
  sleep_ms(kObservedMs);
  const bool crashed = platform->has_killed() || !gateway.is_running();
  ended = true;
  for (std::thread& client : clients) {
    client.join();
  }
  char text[160];
  std::snprintf(text, sizeof text, "%s: most memory %.0f MB of %d MB; %d other requests unanswered",
                crashed ? "BROKEN" : "HELD", platform->peak_mb(), kMemoryMb, unanswered.load());
  record.line(text);
  return crashed ? 1 : 0;
}
