// Slopes of real gateway processes against stand-ins: what the module's slopes leave out, which is
// parsing, sockets and what the allocator keeps. Processor time is the process's own; only what
// clients wait is taken by the wall clock, and next to it what the bench itself adds there.
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "clocks.hpp"
#include "event_loop_thread.hpp"
#include "fake_counter.hpp"
#include "fake_discovery.hpp"
#include "measure.hpp"
#include "report.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using At = std::map<std::string, double>;

constexpr double kGatewayBytes = 4'500, kBenchBytes = 2'500;  // for a listed server
constexpr double kClassBytes = 6'000, kBaseBytes = 150e6;
constexpr double kRequestsPerS = 257;    // of a gateway: the target's requests over its gateways
constexpr double kServersAGateway = 23;  // the target's
constexpr Micros kService = 2'000;       // us; a server's own
constexpr std::size_t kSlice = 500;      // entries of a burst told at once
constexpr std::size_t kZones = 7;
constexpr double kReadyWithin = 30;  // s

void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

double wall_ms() {
  return double(steady_now()) / 1e3;
}

// Polls until it holds or so many seconds are over; whether it held.
bool until(double seconds, const std::function<bool()>& holds) {
  const double last = wall_ms() + 1e3 * seconds;
  while (!holds()) {
    if (wall_ms() > last) {
      return false;
    }
    sleep_ms(2);
  }
  return true;
}

// ---- A gateway's configuration
// --------------------------------------------------------------------------
struct Setup {
  std::string discovery, counter, known;  // known: a list's JSON; empty: none
  std::size_t gateways = 1, classes = 1;
  Micros aim = 3'000'000;  // of the last class; a SIGHUP changes it
};

std::string classes_of(const Setup& setup) {
  std::string text;
  for (std::size_t i = 0; i < setup.classes; ++i) {
    const bool last = i + 1 == setup.classes;
    text += i > 0 ? "," : "";
    text += R"({"Name":")" + (i == 0 ? std::string("read") : "route-" + std::to_string(i)) +
            R"(","Repeat":"safe","ObjectiveUs":)" + std::to_string(last ? setup.aim : 3'000'000) +
            R"(,"GiveUpUs":4000000,"Importance":1.0,"LateValue":0.5})";
  }
  return text;
}

std::string config_of(const Setup& setup, const std::string& listen) {
  return R"({"name":"n0","listen":")" + listen + R"(","discovery":")" + setup.discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":256,"sockets":1024},)" +
         (setup.counter.empty() ? "" : R"("counter":")" + setup.counter + R"(",)") +
         (setup.known.empty() ? "" : R"("known":)" + setup.known + ",") +
         R"("settings":{"Az":"a","ReplicasOfMe":)" + std::to_string(setup.gateways) +
         R"(,"Position":0,"Classes":[)" + classes_of(setup) +
         R"(],"TiersOfService":[{"Name":"plan","QuotaRate":1000000,"Depth":1000000}],)" +
         R"("Extra":{"SharedCounter":)" + (setup.counter.empty() ? "false" : "true") +
         R"(},"Limits":{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true}}})";
}

// ---- The process
// ----------------------------------------------------------------------------------------
class GatewayProcess {
 public:
  GatewayProcess(const std::string& program, const Setup& setup) : folder_(new_folder()) {
    static int begun = 0;
    // Of its own: a port that the kernel hands out could be anybody's before the process binds it.
    const unsigned pid = unsigned(::getpid());
    address_ = "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) +
               "." + std::to_string(1 + ++begun % 250);
    configure(setup);
    begun_ms_ = wall_ms();
    pid_ = ::fork();
    if (pid_ < 0) {
      throw std::runtime_error("no process could be started");
    }
    if (pid_ == 0) {
      become(program);
    }
  }
  ~GatewayProcess() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  tcp::endpoint endpoint() const { return {asio::ip::make_address(address_), kPort}; }
  double begun_ms() const { return begun_ms_; }
  void configure(const Setup& setup) {
    std::ofstream(folder_ + "/config.json", std::ios::trunc)
        << config_of(setup, address_ + ":" + std::to_string(kPort));
  }

  // Whether it took the new configuration, and was done, within the time.
  bool reload(const Setup& setup, double seconds) {
    configure(setup);
    const std::size_t before = told("configuration ");
    ::kill(pid_, SIGHUP);
    return until(seconds, [&] { return told("configuration ") > before; }) &&
           told("configuration kept") == 0;
  }
  // So often it wrote this to its log.
  std::size_t told(const std::string& text) const {
    const std::string log = read_file(folder_ + "/log");
    std::size_t times = 0;
    for (std::size_t at = 0; (at = log.find(text, at)) != std::string::npos; ++at) {
      ++times;
    }
    return times;
  }
  bool ready() const { return answers_200("/_health"); }
  // Whether a request is served: a gateway that knows no server says that it is ready once its
  // agent is late.
  bool serves() const {
    return answers_200("/read/0000000000000001",
                       "Plan: plan\r\nX-Expires-In: 300m\r\nX-Trace-Id: " + fresh_id() +
                           "\r\nQuota-Info: units=1,spread=1,first=0\r\n");
  }
  bool wait_ready(double seconds) const {
    return until(seconds, [this] { return !alive() || ready(); }) && alive();
  }
  bool wait_serves(double seconds) const {
    return until(seconds, [this] { return !alive() || serves(); }) && alive();
  }
  bool alive() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }

  double cpu_ms() const {
    clockid_t clock{};
    timespec t{};
    if (::clock_getcpuclockid(pid_, &clock) != 0 || ::clock_gettime(clock, &t) != 0) {
      throw std::runtime_error("the gateway has ended: " +
                               read_file(folder_ + "/log").substr(0, 400));
    }
    return double(t.tv_sec) * 1e3 + double(t.tv_nsec) / 1e6;
  }
  double resident_mb() const { return status_mb("VmRSS:"); }
  double peak_mb() const { return status_mb("VmHWM:"); }  // since its start or forget_peak()
  void forget_peak() const {
    std::ofstream("/proc/" + std::to_string(pid_) + "/clear_refs") << "5\n";
  }
  // Waits until it spends next to nothing, and no longer than so many seconds; whether it came to
  // that.
  bool quiet(double seconds) const {
    double before = cpu_ms();
    return until(seconds, [&] {
      sleep_ms(100);
      return std::exchange(before, cpu_ms()) + 10 > before;
    });
  }

 private:
  static constexpr unsigned short kPort = 8080;

  bool answers_200(const std::string& target, const std::string& headers = "") const {
    asio::io_context io;
    tcp::socket socket(io);
    error_code ec;
    socket.connect(endpoint(), ec);
    if (ec) {
      return false;
    }
    asio::write(
        socket,
        asio::buffer("GET " + target + " HTTP/1.1\r\nHost: origin.svc\r\n" + headers + "\r\n"), ec);
    std::string answer(12, ' ');  // "HTTP/1.1 200"
    asio::read(socket, asio::buffer(answer), ec);
    return !ec && answer.substr(9) == "200";
  }
  static std::string fresh_id() {
    static std::size_t last = std::size_t(1) << 40;  // above those of callers
    char id[17];
    std::snprintf(id, sizeof id, "%016zx", ++last);
    return id;
  }
  static std::string new_folder() {
    std::string path =
        (std::filesystem::temp_directory_path() / "quota_gateway-scale-XXXXXX").string();
    if (!::mkdtemp(path.data())) {
      throw std::runtime_error("no folder could be made: " + path);
    }
    return path;
  }
  static std::string read_file(const std::string& path) {
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
  [[noreturn]] void become(const std::string& program) const {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("RELAY_CONFIG", (folder_ + "/config.json").c_str(), 1);
    ::setenv("TMPDIR", folder_.c_str(), 1);
    ::execl(program.c_str(), program.c_str(), nullptr);
    ::_exit(127);
  }
  double status_mb(const std::string& key) const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; status >> word;) {
      if (double kb = 0; word == key && status >> kb) {
        return kb * 1024 / 1e6;
      }
    }
    return 0;
  }

  std::string folder_, address_;
  double begun_ms_ = 0;
  pid_t pid_ = -1;
};

// ---- What stands round it
// ------------------------------------------------------------------------------- Servers at as
// many addresses as are listed. Danger: of two servers at one address a gateway takes one to have
// replaced the other, so listed ones can't share a few that listen. One socket hears all of
// 127.0.0.0/8, and what comes by another device than loopback never reaches it.
class LoopbackServers {
 public:
  LoopbackServers(asio::io_context& io, Micros service) : acceptor_(io), service_(service) {
    acceptor_.open(tcp::v4());
    static constexpr char kLoopback[] = "lo";
    if (::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_BINDTODEVICE, kLoopback,
                     sizeof kLoopback) != 0) {
      throw std::runtime_error("no socket could be bound to the loopback device");
    }
    acceptor_.bind({asio::ip::address_v4::any(), 0});
    acceptor_.listen();
    port_ = acceptor_.local_endpoint().port();
    accept();
  }
  tcp::endpoint address(std::size_t n) const {
    return {asio::ip::address_v4(std::uint32_t((127U << 24) + (64U << 16) + n % (64U << 16))),
            port_};
  }
  std::string text(std::size_t n) const {
    return address(n).address().to_string() + ":" + std::to_string(port_);
  }

 private:
  struct Link {
    explicit Link(tcp::socket s) : socket(std::move(s)), timer(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
  };
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      read(std::make_shared<Link>(std::move(socket)));
      accept();
    });
  }
  void read(const std::shared_ptr<Link>& link) {
    link->request = {};
    http::async_read(link->socket, link->buffer, link->request,
                     [this, link](error_code ec, std::size_t) {
                       if (ec) {
                         return;
                       }
                       link->timer.expires_after(std::chrono::microseconds(service_));
                       link->timer.async_wait([this, link](error_code late) {
                         if (!late) {
                           answer(link);
                         }
                       });
                     });
  }
  void answer(const std::shared_ptr<Link>& link) {
    static const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    asio::async_write(link->socket, asio::buffer(kAnswer),
                      [this, link](error_code ec, std::size_t) {
                        if (!ec) {
                          read(link);
                        }
                      });
  }

  tcp::acceptor acceptor_;
  const Micros service_;
  unsigned short port_ = 0;
};

struct World {
  explicit World(std::size_t listed)
      : servers(servers_machine.emplace<LoopbackServers>(kService)),
        agent(control.emplace<FakeDiscovery>(options(list(listed)))),
        counter(control.emplace<FakeCounter>(FakeCounter::Options{})) {}

  static FakeDiscovery::Options options(std::vector<ListedServer> list) {
    FakeDiscovery::Options o;
    o.servers = std::move(list);
    return o;
  }
  ListedServer listed(std::size_t n) {
    ListedServer s;
    s.id = "s-" + std::to_string(100'000'000 + n);
    s.host_port = servers.text(n);
    s.locality = std::string(1, char('a' + n % kZones));
    s.cell = std::int64_t(n % 64);
    return s;
  }
  std::vector<ListedServer> list(std::size_t n) {
    std::vector<ListedServer> out;
    for (std::size_t i = 0; i < n; ++i) {
      out.push_back(listed(i));
    }
    return out;
  }
  FakeDiscovery::Counts told() {
    return control.run([this] { return agent.counts(); });
  }
  void change(const std::vector<ListedServer>& entries) {
    control.run([&] { return agent.publish(entries); });
  }
  // The whole list as discovery words it.
  std::string known() const {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(agent.address());
    asio::write(socket,
                asio::buffer(std::string("GET /catalog/members HTTP/1.1\r\nHost: agent\r\n\r\n")));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    http::read(socket, buffer, parser);
    return parser.get().body();
  }
  Setup setup(std::size_t listed, bool with_known) const {
    Setup s;
    s.discovery = agent.host_port();
    s.counter = counter.host_port();
    s.gateways = std::max<std::size_t>(1, std::size_t(double(listed) / kServersAGateway));
    if (with_known) {
      s.known = known();
    }
    return s;
  }

  EventLoopThread servers_machine, control;
  LoopbackServers& servers;
  FakeDiscovery& agent;
  FakeCounter& counter;
};

// Requests at a rate, each on a connection of its own for the time, from when it was due.
class CounterCaller {
 public:
  CounterCaller(asio::io_context& io, tcp::endpoint to, double rate, std::size_t count)
      : io_(io), timer_(io), to_(std::move(to)), rate_(rate), count_(count), begun_(steady_now()) {
    next();
  }
  bool over() const { return ended_ == count_; }
  std::size_t served() const { return waited_ms_.size(); }
  const std::vector<double>& waited_ms() const { return waited_ms_; }  // of those that were served
  std::size_t failed() const { return ended_ - waited_ms_.size(); }

 private:
  struct Call : std::enable_shared_from_this<Call> {
    explicit Call(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    std::string request;
    Micros due = 0;
  };
  void next() {
    const Micros due = begun_ + Micros(double(asked_) * 1e6 / rate_);
    timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, due - steady_now())));
    timer_.async_wait([this, due](error_code ec) {
      if (ec) {
        return;
      }
      ask(due);
      if (++asked_ < count_) {
        next();
      }
    });
  }
  void ask(Micros due) {
    std::shared_ptr<Call> call;
    if (!idle_.empty()) {
      call = idle_.back();
      idle_.pop_back();
    } else {
      call = std::make_shared<Call>(io_);
    }
    call->due = due;
    char id[2][17];
    std::snprintf(id[0], sizeof id[0], "%016zx", asked_ % 176 + 1);
    std::snprintf(id[1], sizeof id[1], "%016zx", asked_ + 1);
    call->request =
        std::string("GET /read/") + id[0] +
        " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id[1] +
        "\r\nPlan: plan\r\nX-Expires-In: 4000m\r\nQuota-Info: units=1,spread=1,first=0\r\n\r\n";
    if (call->socket.is_open()) {
      return send(call);
    }
    call->socket.async_connect(to_, [this, call](error_code ec) {
      if (ec) {
        return ended(call, false);
      }
      call->socket.set_option(tcp::no_delay(true));
      send(call);
    });
  }
  void send(const std::shared_ptr<Call>& call) {
    asio::async_write(call->socket, asio::buffer(call->request),
                      [this, call](error_code ec, std::size_t) {
                        if (ec) {
                          return ended(call, false);
                        }
                        call->answer = {};
                        http::async_read(call->socket, call->buffer, call->answer,
                                         [this, call](error_code bad, std::size_t) {
                                           ended(call, !bad && call->answer.result_int() == 200,
                                                 !bad && call->answer.keep_alive());
                                         });
                      });
  }
  void ended(const std::shared_ptr<Call>& call, bool served, bool keeps = false) {
    ++ended_;
    if (served) {
      waited_ms_.push_back(double(steady_now() - call->due) / 1e3);
    }
    if (keeps) {
      return idle_.push_back(call);
    }
    error_code ignored;
    call->socket.close(ignored);
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  const tcp::endpoint to_;
  const double rate_;
  const std::size_t count_;
  const Micros begun_;
  std::size_t asked_ = 0, ended_ = 0;
  std::vector<std::shared_ptr<Call>> idle_;
  std::vector<double> waited_ms_;
};

// An agent whose list never ends. Counts what was drawn, a small buffer of the kernel's included.
class EndlessAgent {
 public:
  explicit EndlessAgent(asio::io_context& io)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
    accept();
  }
  std::string text() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  std::uint64_t drawn() const { return drawn_; }
  std::size_t asks() const { return asks_; }

 private:
  struct Watch {
    explicit Watch(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string request, piece;
    std::size_t entry = 0;
  };
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      error_code ignored;
      socket.set_option(asio::socket_base::send_buffer_size(16 << 10), ignored);
      auto watch = std::make_shared<Watch>(std::move(socket));
      asio::async_read_until(watch->socket, asio::dynamic_buffer(watch->request), "\r\n\r\n",
                             [this, watch](error_code bad, std::size_t) {
                               if (bad) {
                                 return;
                               }
                               ++asks_;
                               watch->piece =
                                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                               append(*watch, R"({"revision":2,"complete":true,"members":[)");
                               write(watch);
                             });
      accept();
    });
  }
  static void append(Watch& watch, const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    watch.piece += size + text + "\r\n";
  }
  void write(const std::shared_ptr<Watch>& watch) {
    asio::async_write(
        watch->socket, asio::buffer(watch->piece), [this, watch](error_code ec, std::size_t n) {
          drawn_ += n;
          if (ec) {
            return;
          }
          watch->piece.clear();
          std::string entries;
          while (entries.size() < 8'000) {
            entries +=
                (watch->entry++ > 0 ? "," : "") + (R"({"id":"s-)" + std::to_string(watch->entry)) +
                R"(","host_port":"127.0.0.1:9","locality":"a","flavor":"m","cell":1,"phase":"up")" +
                R"(,"size":1.0,"up_since_ms":0})";
          }
          append(*watch, entries);
          write(watch);
        });
  }

  tcp::acceptor acceptor_;
  std::uint64_t drawn_ = 0;
  std::size_t asks_ = 0;
};

// ---- Scenarios
// ------------------------------------------------------------------------------------------
std::vector<std::size_t> class_sizes(const Options& o) {
  if (o.small) {
    return {10, 100, 500, 2'000};
  }
  return {100, 1'000, 10'000, 100'000};
}

void started(Teller& tell, const At& at, const GatewayProcess& gateway) {
  if (!gateway.wait_ready(kReadyWithin)) {
    throw std::runtime_error("a gateway was not ready in time");
  }
  tell.add("ready", at, wall_ms() - gateway.begun_ms(), "ms");
  gateway.quiet(10);
  tell.add("start", at, gateway.cpu_ms(), "ms cpu");
  tell.add("start_resident", at, gateway.resident_mb(), "MB");
  tell.add("start_peak", at, gateway.peak_mb(), "MB");
}

// SIGHUP with one class changed.
void reloaded(Teller& tell, const At& at, GatewayProcess& gateway, Setup& setup) {
  gateway.forget_peak();
  const double before = gateway.cpu_ms();
  setup.aim += 1'000;
  if (!gateway.reload(setup, 60)) {
    throw std::runtime_error("a configuration was not taken");
  }
  gateway.quiet(10);
  tell.add("sighup", at, gateway.cpu_ms() - before, "ms cpu");
  tell.add("sighup_resident", at, gateway.resident_mb(), "MB");
  tell.add("sighup_peak", at, gateway.peak_mb(), "MB");
}

// What it spends in a second without anything to do, in ms.
double idle_ms(const GatewayProcess& gateway, double seconds) {
  const double before = gateway.cpu_ms();
  const double from = wall_ms();
  sleep_ms(1e3 * seconds);
  return (gateway.cpu_ms() - before) / (wall_ms() - from) * 1e3;
}

void one_by_one(Teller& tell, const At& at, World& world, const GatewayProcess& gateway,
                std::size_t listed, bool small) {
  const double idle = idle_ms(gateway, small ? 0.2 : 2);
  tell.add("idle", at, idle, "ms cpu/s");
  const auto told = world.told();
  const double before = gateway.cpu_ms();
  const double from = wall_ms();
  const std::size_t changes = small ? 10 : 40;
  for (std::size_t i = 0; i < changes; ++i) {
    ListedServer s = world.listed(i / 2 % listed);
    if (i % 2 == 0) {
      s.phase = Phase::kDraining;
    }
    world.change({s});
    sleep_ms(10);
  }
  sleep_ms(100);  // its last bytes are on their way
  gateway.quiet(20);
  const double spent = gateway.cpu_ms() - before - idle * (wall_ms() - from) / 1e3;
  const auto after = world.told();
  tell.add("change", at, std::max(0.0, spent) / double(changes), "ms cpu");
  tell.add("change_bytes", at, double(after.traffic.sent - told.traffic.sent) / double(changes),
           "bytes");
}

void known_point(const Options& o, Teller tell, std::size_t listed) {
  const At at = {{"servers", double(listed)}};
  World world(listed);
  Setup setup = world.setup(listed, true);
  GatewayProcess gateway(o.gateway_program, setup);
  started(tell, at, gateway);
  one_by_one(tell, at, world, gateway, listed, o.small);
  reloaded(tell, at, gateway, setup);
}

void known_lists(const Options& o, Report& report) {
  const Bound bound(o, 240);
  Teller tell{report, "process.known"};
  for (const std::size_t listed : server_sizes(o)) {
    if (!bound.over()) {
      known_point(o, tell, listed);
    }
  }
  tell.fit({"ready", "start", "start_resident", "start_peak", "idle", "change", "change_bytes",
            "sighup", "sighup_resident", "sighup_peak"},
           "servers", Target{}.servers);
}

// A gateway that knows no server is sent the whole list.
void pushed_point(const Options& o, Teller tell, std::size_t listed) {
  const At at = {{"servers", double(listed)}};
  World world(listed);
  GatewayProcess gateway(o.gateway_program, world.setup(listed, false));
  const bool taken = gateway.wait_serves(o.small ? 5 : 10);
  const double after = wall_ms() - gateway.begun_ms();
  gateway.quiet(5);
  const auto told = world.told();
  tell.add("taken", at, taken ? 1 : 0, "of 1");
  tell.add("lists_sent", at, double(told.full_lists), "lists");
  if (taken) {
    tell.add("ready", at, after, "ms");
    tell.add("list", at, gateway.cpu_ms(), "ms cpu");
    tell.add("list_bytes", at, double(told.traffic.sent), "bytes");
    tell.add("resident", at, gateway.resident_mb(), "MB");
    tell.add("peak", at, gateway.peak_mb(), "MB");
  } else {
    tell.add("not_taken", at, gateway.cpu_ms(), "ms cpu");
    tell.note("a list of " + std::to_string(listed) + " servers was not taken in " +
              std::to_string(int(after / 1e3)) + " s, and was sent " +
              std::to_string(told.full_lists) + " times");
  }
}

void pushed_lists(const Options& o, Report& report) {
  const Bound bound(o, 180);
  Teller tell{report, "process.pushed"};
  for (const std::size_t listed : server_sizes(o)) {
    if (!bound.over()) {
      pushed_point(o, tell, listed);
    }
  }
  tell.fit({"ready", "list", "list_bytes", "resident", "peak"}, "servers", Target{}.servers);
}

// A zone's servers drain, in slices.
void zone_drains(World& world, std::size_t listed, double seconds) {
  std::vector<ListedServer> slice;
  const std::size_t slices = (listed / kZones + kSlice - 1) / kSlice;
  for (std::size_t i = 0; i < listed; i += kZones) {
    slice.push_back(world.listed(i));
    slice.back().phase = Phase::kDraining;
    if (slice.size() < kSlice && i + kZones < listed) {
      continue;
    }
    world.change(std::exchange(slice, {}));
    sleep_ms(1e3 * seconds / double(slices));
  }
}

// Requests to `to`, with something that happens meanwhile; what the client waited past the server's
// own time.
void call_point(Teller& tell, At at, tcp::endpoint to, double seconds,
                const std::function<void()>& meanwhile) {
  EventLoopThread clients;
  const auto count = std::size_t(kRequestsPerS * seconds);
  CounterCaller& caller = clients.emplace<CounterCaller>(std::move(to), kRequestsPerS, count);
  meanwhile();
  until(seconds + 10, [&] { return clients.run([&] { return caller.over(); }); });
  const auto waited = clients.run([&] { return caller.waited_ms(); });
  const auto failed = clients.run([&] { return caller.failed(); });
  std::vector<double> added;
  for (const double ms : waited) {
    added.push_back(ms - double(kService) / 1e3);
  }
  tell.add("added", at, median(added), "ms");
  tell.add("added_p99", at, p99(added), "ms");
  tell.add("served", at, 100.0 * double(waited.size()) / double(count), "%");
  if (waited.size() < count) {
    tell.note(std::to_string(count - waited.size()) + " of " + std::to_string(count) +
              " requests were not served (" + std::to_string(failed) + " refused or failed)");
  }
}

void request_point(const Options& o, Teller tell, std::size_t listed, double seconds) {
  const auto nothing = [] {};
  const double n = double(listed);
  World world(listed);
  // How far each figure is the bench's own: the same without a gateway.
  call_point(tell, {{"servers", n}, {"gateway", 0}, {"changes", 0}}, world.servers.address(0),
             seconds, nothing);
  GatewayProcess gateway(o.gateway_program, world.setup(listed, true));
  if (!gateway.wait_ready(kReadyWithin)) {
    throw std::runtime_error("a gateway was not ready in time");
  }
  gateway.quiet(10);
  const At at = {{"servers", n}, {"gateway", 1}, {"changes", 0}};
  const double before = gateway.cpu_ms();
  call_point(tell, at, gateway.endpoint(), seconds, nothing);
  tell.add("cpu", at, (gateway.cpu_ms() - before) / (kRequestsPerS * seconds) * 1e3,
           "us cpu/request");
  const double drained = std::ceil(n / double(kZones));
  call_point(tell, {{"servers", n}, {"gateway", 1}, {"changes", drained}}, gateway.endpoint(),
             seconds, [&] { zone_drains(world, listed, seconds / 2); });
}

void requests(const Options& o, Report& report) {
  const Bound bound(o, 180);
  const double seconds = o.small ? 0.4 : 6;
  Teller tell{report, "process.request"};
  for (const std::size_t listed : server_sizes(o)) {
    if (!bound.over()) {
      request_point(o, tell, listed, seconds);
    }
  }
}

void endless(const Options& o, Report& report) {
  const double whole = o.small ? 3 : 90;
  const Bound bound(o, whole);
  Teller tell{report, "process.endless"};
  World world(3);
  Setup setup = world.setup(3, true);
  EventLoopThread machine;
  EndlessAgent& agent = machine.emplace<EndlessAgent>();
  setup.discovery = agent.text();
  GatewayProcess gateway(o.gateway_program, setup);
  const auto drawn = [&] { return double(machine.run([&] { return agent.drawn(); })); };
  double from = 0;
  double before_drawn = 0;
  double before_cpu = 0;
  // Whether waits grow shows in windows that do.
  for (double to = 1; !bound.over(); to *= 2) {
    const double end = gateway.begun_ms() + 1e3 * to;
    until(std::min(bound.left(), to), [&] { return wall_ms() >= end; });
    const double now = (wall_ms() - gateway.begun_ms()) / 1e3;
    if (now < from + 0.5) {
      break;
    }
    const double cpu = gateway.cpu_ms();
    const double bytes = drawn();
    tell.add("drawn", {{"from_s", from}, {"to_s", std::round(now)}},
             (bytes - before_drawn) / (now - from), "bytes/s");
    tell.add("cpu", {{"from_s", from}, {"to_s", std::round(now)}},
             (cpu - before_cpu) / (now - from), "ms cpu/s");
    from = std::round(now);
    before_drawn = bytes;
    before_cpu = cpu;
  }
  tell.add("asks", {{"to_s", from}}, double(machine.run([&] { return agent.asks(); })), "asks");
  tell.add("peak", {{"to_s", from}}, gateway.peak_mb(), "MB");
  tell.add("ready", {{"to_s", from}}, gateway.ready() ? 1 : 0, "of 1");
}

void changed_settings(const Options& o, Report& report) {
  const Bound bound(o, 180);
  Teller tell{report, "process.settings"};
  for (const std::size_t classes : class_sizes(o)) {
    if (bound.over()) {
      break;
    }
    const At at = {{"classes", double(classes)}};
    World world(200);
    Setup setup = world.setup(200, true);
    setup.classes = classes;
    GatewayProcess gateway(o.gateway_program, setup);
    started(tell, at, gateway);
    reloaded(tell, at, gateway, setup);
  }
  tell.fit({"start", "start_resident", "start_peak", "sighup", "sighup_resident", "sighup_peak"},
           "classes", Target{}.routes);
}

std::uint64_t server_memory(const Options& o) {
  return bytes(kBaseBytes + (kGatewayBytes + kBenchBytes) * double(server_sizes(o).back()));
}
std::uint64_t class_memory(const Options& o) {
  return bytes(kBaseBytes + kClassBytes * double(class_sizes(o).back()));
}
std::uint64_t base_memory(const Options&) {
  return bytes(kBaseBytes);
}

// Without a program to start there is nothing to measure, which is said and is no failure.
std::function<void(const Options&, Report&)> with_gateway(const std::string& name,
                                                          void (*run)(const Options&, Report&)) {
  return [name, run](const Options& o, Report& report) {
    if (o.gateway_program.empty()) {
      return report.note(name, "not run: no gateway program");
    }
    run(o, report);
  };
}

}  // namespace

void add_process_slopes(std::vector<Scenario>& scenarios) {
  const auto add = [&scenarios](const std::string& name, const char* what,
                                std::function<std::uint64_t(const Options&)> memory,
                                void (*run)(const Options&, Report&)) {
    scenarios.push_back({name, what, std::move(memory), with_gateway(name, run)});
  };
  add("process.known", "a gateway that starts with a list: time, memory, changes, SIGHUP",
      server_memory, known_lists);
  add("process.pushed", "a gateway that is sent a whole list: time, memory, bytes", server_memory,
      pushed_lists);
  add("process.request",
      "what requests wait in a gateway, by listed servers and while a zone changes", server_memory,
      requests);
  add("process.endless", "a list that never ends: bytes drawn over time", base_memory, endless);
  add("process.settings", "SIGHUP, by classes", class_memory, changed_settings);
}

}  // namespace quota_gateway::scale
