// Case 1: a connection is reset under a long request, and another server runs a part of the
// request's body as a request. See claim.txt.
#include <cstdio>
#include <memory>
#include <random>
#include <set>

#include "../standins/standins.hpp"

namespace {

using namespace review;

constexpr int kServers = 4;
constexpr int kUploads = 3000;
constexpr double kUploadPauseMs = 10;
constexpr std::size_t kResetEvery = 4;
constexpr std::size_t kBeginningBytes = 70'000;
// The client pauses for a random time before it sends the rest of its body. A server that resets a
// connection does so a random time of the same range after it has received the beginning.
constexpr double kLeastPauseMs = 2;
constexpr double kMostPauseMs = 6;
constexpr unsigned kSeed = 24;

// The last bytes of each client's body: a message that the client stores, for example a log of its
// own. They are content and not a request.
const std::string kRest =
    "POST /allocate/00000000000abcde HTTP/1.1\r\nHost: origin.svc\r\n"
    "X-Trace-Id: inside-a-body\r\nContent-Length: 0\r\n\r\n";

double random_pause(std::mt19937& random) {
  return std::uniform_real_distribution<double>(kLeastPauseMs, kMostPauseMs)(random);
}

// What the clients have sent and the servers have run.
class Ledger {
 public:
  explicit Ledger(Record& record) : record_(record) {}

  void on_sent(const std::string& id) {
    const std::lock_guard lock(mutex_);
    sent_.insert(id);
    record_.line("client sends POST /allocate, " + id);
  }
  void on_run(const std::string& server, const Message& request, const std::string& id) {
    const std::lock_guard lock(mutex_);
    const bool is_sent = sent_.count(id) > 0;
    not_sent_ += is_sent ? 0 : 1;
    record_.line(server + " runs " + (is_sent ? "" : "a request that no client sent: ") +
                 request.first_line + ", " + id + ", body of " +
                 std::to_string(request.body.size()) + " bytes, and answers 200");
  }
  void on_reset(const std::string& server, const std::string& id) {
    record_.line(server + " resets the connection of " + id + " and doesn't run it");
  }
  int not_sent() {
    const std::lock_guard lock(mutex_);
    return not_sent_;
  }
  // Whether the first attempt of this request shall be reset: every fourth request.
  bool takes_reset(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return has_trouble() && sent_.count(id) > 0 && sent_.size() % kResetEvery == 0 &&
           reset_.insert(id).second;
  }

 private:
  Record& record_;
  std::mutex mutex_;
  std::set<std::string> sent_;
  std::set<std::string> reset_;
  int not_sent_ = 0;
};

// A server that runs each complete request, answers 200 and closes the connection.
class StockServer {
 public:
  StockServer(Ledger& ledger, std::string id, unsigned seed)
      : ledger_(ledger), id_(std::move(id)), random_(seed) {
    listener_.start([this](Socket& socket) { serve(socket); });
  }

  Member member() const { return {id_, listener_.address()}; }

 private:
  void serve(Socket& socket) {
    std::string input;
    Message request;
    if (!read_head(socket, input, request, 30'000)) {
      return;
    }
    const std::string id = request.headers["x-trace-id"];
    if (ledger_.takes_reset(id)) {
      while (input.size() < kBeginningBytes && socket.read(input, 5000) == Socket::Read::kData) {
      }
      sleep_ms(pause());
      ledger_.on_reset(id_, id);
      return socket.reset();
    }
    read_body(socket, input, request, 30'000);
    if (!request.complete) {
      return;
    }
    ledger_.on_run(id_, request, id);
    const std::string body = "ran " + id;
    socket.write("HTTP/1.1 200 OK\r\nBilled-Units: 1\r\nConnection: close\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    socket.read(input, 5000);
  }

  double pause() {
    const std::lock_guard lock(mutex_);
    return random_pause(random_);
  }

  Ledger& ledger_;
  const std::string id_;
  std::mutex mutex_;
  std::mt19937 random_;
  Listener listener_;
};

}  // namespace

int main(int, char** arguments) {
  Record record(arguments[1]);
  Ledger ledger(record);
  std::vector<std::unique_ptr<StockServer>> servers;
  std::vector<Member> members;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<StockServer>(ledger, "s-0000000" + std::to_string(i),
                                                    kSeed + unsigned(i) + 1));
    members.push_back(servers.back()->member());
  }
  Discovery discovery;
  discovery.start(members);
  Counter counter;
  counter.start();
  GatewayProcess gateway("n0", settings(0), discovery.address(), counter.address(), 192, 1024);
  GatewayProcess other("n1", settings(1), discovery.address(), counter.address(), 192, 1024);
  gateway.await_ready();
  other.await_ready();
  sleep_ms(500);

  std::mt19937 random(kSeed);
  std::map<std::string, int> answers;
  int foreign = 0;
  for (int number = 0; number < kUploads; ++number) {
    char id[20];
    std::snprintf(id, sizeof id, "%016x", 0x9b1f0000U + unsigned(number));
    ledger.on_sent(id);
    Socket client = Socket::connect(gateway.port());
    client.write("POST " + allocate_path(0x1000 + number) +
                 " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
                 "\r\nPlan: warehouse\r\nX-Expires-In: 2000m\r\n"
                 "Quota-Info: units=1,spread=2,first=0\r\nContent-Length: " +
                 std::to_string(kBeginningBytes + kRest.size()) + "\r\n\r\n");
    sleep_ms(1);
    client.write(std::string(kBeginningBytes, 'a'));
    sleep_ms(random_pause(random));
    client.write(kRest);
    Message answer;
    std::string input;
    if (read_head(client, input, answer, 3000)) {
      read_body(client, input, answer, 3000);
    }
    const bool is_served = answer.first_line.find(" 200") != std::string::npos;
    if (is_served && answer.body != std::string("ran ") + id) {
      record.line("client " + std::string(id) + " is served with: " + answer.body);
      ++foreign;
    }
    record.line("client " + std::string(id) + ": " +
                (answer.complete ? answer.first_line + ": " + answer.body : "no answer"));
    ++answers[answer.first_line];
    sleep_ms(kUploadPauseMs);
  }
  for (const auto& [line, count] : answers) {
    record.line("answers: " + std::to_string(count) + " times " + line);
  }
  const int not_sent = ledger.not_sent();
  char text[160];
  std::snprintf(text, sizeof text,
                "%s: of %d uploads, %d led to a request that no client sent; %d foreign answers",
                not_sent + foreign > 0 ? "BROKEN" : "HELD", kUploads, not_sent, foreign);
  record.line(text);
  return not_sent + foreign > 0 ? 1 : 0;
}
