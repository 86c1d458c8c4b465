// The other parties of a gateway, written from the protocol's page: an agent of discovery, a
// counter, and servers that answer. On loopback only; each counts what it sends, receives and is
// asked for.
//
// None of them is safe to share between threads: all calls come from the loop that it was made on.
// A EventLoopThread is such a loop with a thread of its own, whose processor time is what the
// stand-ins on it spend.
#pragma once

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

// Raises this process's descriptors to its hard limit; returns how many that are.
std::size_t raise_descriptor_limit();
// us of processor time that the calling thread has spent.
Micros thread_cpu();
// us of a clock that only goes forward, one for all threads.
Micros steady_now();

// A loop with a thread of its own.
class EventLoopThread {
 public:
  EventLoopThread();
  ~EventLoopThread();  // ends the thread, then what it hosts, the last first
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  boost::asio::io_context& io() { return io_; }
  // Runs `what` on the loop, waits for it and hands back what it returns or throws. Not from the
  // loop itself.
  template <typename What>
  decltype(auto) run(What what) {
    std::packaged_task<decltype(what())()> task(std::move(what));
    auto result = task.get_future();
    boost::asio::post(io_, [&task] { task(); });
    return result.get();
  }
  // Makes a T(io, arguments...) on the loop, which lives until the machine ends.
  template <typename T, typename... Arguments>
  T& emplace(Arguments&&... arguments) {
    return run([&]() -> T& {
      auto made = std::make_shared<T>(io_, std::forward<Arguments>(arguments)...);
      hosted_.push_back(made);
      return *made;
    });
  }
  // us of processor time of its thread so far.
  Micros cpu_time() const;

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::vector<std::shared_ptr<void>> hosted_;
  std::thread thread_;
};

// Bytes of the messages themselves, both directions; what TCP and IP add round each write is not in
// them.
struct Traffic {
  std::uint64_t sent = 0, received = 0, writes = 0;
};

enum class Phase : std::uint8_t { kUp, kDraining, kRemoved };
struct ListedServer {
  std::string id, host_port, locality = "a", flavor = "m";
  std::int64_t cell = 0;
  Phase phase = Phase::kUp;
  double size = 1;
  std::int64_t up_since_ms = 0;  // Unix time; 0: long ago
};

class FakeConnection;
using FakeConnections = std::vector<std::shared_ptr<FakeConnection>>;  // connections that are up

// Discovery as a gateway meets it: GET /catalog/members, whole or as a watch. Watchers share one
// encoded buffer of each change and of each whole list.
class FakeDiscovery {
 public:
  struct Options {
    std::vector<ListedServer> servers = {};
    std::int64_t revision = 1;
    std::size_t history = 100'000;  // changed entries back to which it can tell differences
    Micros heartbeat_interval =
        2'000'000;                   // us between empty lines on a watch that is told nothing else
    unsigned short port = 0;         // 0: any
    std::string host = "127.0.0.1";  // in 127.0.0.0/8
    std::size_t most_unsent =
        64U << 20;  // bytes that a slow watcher may be behind; then it is broken off
  };
  struct Counts {
    Traffic traffic;
    std::uint64_t asks = 0;         // requests that came, those that were turned away included
    std::uint64_t full_lists = 0;   // whole lists sent, on a watch or not
    std::uint64_t differences = 0;  // first objects of a watch that held what had changed
    std::uint64_t changes = 0;      // objects pushed to watchers, one for each of them
    std::uint64_t heartbeats = 0, connections = 0, turned_away = 0, too_slow = 0;
    std::size_t watchers = 0;                        // now
    std::map<Micros, std::uint32_t> asks_by_second;  // by second of steady_now()
  };

  FakeDiscovery(boost::asio::io_context& io, Options options);
  ~FakeDiscovery();

  boost::asio::ip::tcp::endpoint address() const { return address_; }
  std::string host_port() const;  // host:port
  std::int64_t revision() const { return revision_; }
  // All that it ever told of, in a lasting order; those whose phase is `removed` are not listed.
  const std::vector<ListedServer>& servers() const { return servers_; }

  // Takes the entries as one change with a revision of its own, tells all watchers, returns the
  // revision.
  std::int64_t publish(const std::vector<ListedServer>& entries);
  // While it is silent nothing leaves it and what is asked is not answered; connections stay open,
  // new ones come up. What changed meanwhile is told when it speaks again.
  void set_silent(bool silent);
  // Answers every request with this status (0: none) and Retry-After; watches that are up stay.
  void turn_away(int status, int retry_after_s = 0);
  // Differences start from now on; who asks from an earlier revision is sent the whole list.
  void forget_history();
  // Resets all connections, or those of every n-th watcher.
  void break_off(std::size_t every = 1);
  // As when its machine is lost and is back: connections are reset and new ones rejected until it
  // starts again, on the same port. The list and, unless forgotten, the history are kept and may be
  // changed.
  void stop();
  void start();

  Counts counts() const;

 private:
  class Connection;
  using Buffer = std::shared_ptr<const std::string>;
  struct Past {
    std::int64_t revision;
    std::vector<std::uint32_t> changed;  // indices
  };
  void accept();
  void asked(const std::shared_ptr<Connection>& by, const std::string& target);
  // Brings a watcher that has `after` (below 0: nothing) up to the present revision.
  void update(Connection& watcher, std::int64_t after);
  void send_whole(Connection& watcher);
  Buffer difference(std::int64_t after);
  bool few_since(std::int64_t after, std::size_t most) const;
  void beat();
  template <typename What>
  void each_watcher(What what);

  boost::asio::io_context& io_;
  const Options options_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::vector<ListedServer> servers_;
  std::unordered_map<std::string, std::uint32_t> index_;
  FakeConnections links_;
  std::deque<Past> history_;
  std::size_t history_entries_ = 0;
  std::int64_t revision_, oldest_;  // differences are known from `oldest_` on
  Buffer whole_, heartbeat_;
  std::int64_t whole_at_ = -1;
  std::map<std::int64_t, Buffer> differences_;  // by `after`, up to the present revision
  bool silent_ = false, running_ = false;
  int turned_away_status_ = 0, retry_after_s_ = 0;
  Counts counts_;
};

// The counter: adds up by name. Names lie on parts, each of which serves calls in turn.
class FakeCounter {
 public:
  struct Options {
    std::size_t parts = 1;
    double calls_per_s = 0;  // that a part serves; 0: any number, each at once
    Micros line = 100'000;   // us of work that may wait at a part; a call beyond is turned away
    Micros closes_idle = 10'000'000;  // us
    unsigned short port = 0;          // 0: any
    bool begun = true;                // else it turns all calls away until begin()
  };
  struct Counts {
    Traffic traffic;
    std::uint64_t calls = 0, turned_away = 0, not_understood = 0, pings = 0;
    std::uint64_t connections = 0;  // taken, so far
    std::size_t names = 0;          // now, those that are forgotten but not yet swept included
  };

  FakeCounter(boost::asio::io_context& io, Options options);
  ~FakeCounter();
  boost::asio::ip::tcp::endpoint address() const { return address_; }
  std::string host_port() const;  // host:port
  void begin() { begun_ = true; }
  // The calls of a part that is down wait for it, also those that come behind them on their
  // connections.
  void set_down(std::size_t part, bool down);
  // As when its machine is lost and is back elsewhere: empty, on the same port.
  void stop();
  void start();
  Counts counts() const;

 private:
  class Connection;
  class Part;
  struct Total {
    double sum = 0;
    Micros until = 0;  // its life ends
  };
  struct Call {
    std::string name;
    double amount = 0;
    Micros life = 0;
    std::weak_ptr<Connection> by;
    std::uint64_t place = 0;  // among the answers on its connection
  };
  void accept();
  void took(const std::shared_ptr<Connection>& by, const std::vector<std::string_view>& words);
  std::string add(const Call& call);
  void sweep();

  boost::asio::io_context& io_;
  const Options options_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweep_;
  std::vector<std::unique_ptr<Part>> parts_;
  FakeConnections links_;
  std::unordered_map<std::string, Total> totals_;
  std::array<std::vector<std::string>, 62>
      dying_;               // names by the second in which they may be forgotten
  std::int64_t swept_ = 0;  // s
  bool begun_;
  Counts counts_;
};

// Servers that answer requests, each at a port of its own. More servers may be listed than listen:
// address(i) goes round them.
class FakeEndpoints {
 public:
  struct Answer {
    int status = 200;           // 200, 500, 503
    bool never_ran = false;     // X-Never-Ran: 1
    Micros service = 2'000;     // us from a request's last byte to its answer
    double service_spread = 0;  // of that, to both sides
    std::string body = "ok";
  };
  struct Counts {
    Traffic traffic;
    std::uint64_t requests = 0, connections = 0;
    std::map<int, std::uint64_t> answers;  // by status, those that were sent
  };

  FakeEndpoints(boost::asio::io_context& io, std::size_t listening, std::uint64_t seed = 1);
  FakeEndpoints(boost::asio::io_context& io, std::size_t listening, std::uint64_t seed,
                Answer answer);
  ~FakeEndpoints();
  std::size_t listening() const { return acceptors_.size(); }
  boost::asio::ip::tcp::endpoint address(std::size_t server) const;
  std::string host_port(std::size_t server) const;  // host:port
  // From now on; of one that listens, or of all.
  void set_answer(std::size_t server, Answer answer);
  void set_answer(Answer answer);
  Counts counts() const { return counts_; }
  // Requests that came to one that listens.
  std::uint64_t requests(std::size_t server) const {
    return requests_.at(server % requests_.size());
  }

 private:
  class Connection;
  void accept(std::size_t server);

  boost::asio::io_context& io_;
  std::vector<boost::asio::ip::tcp::acceptor> acceptors_;
  std::vector<Answer> answers_;
  std::vector<std::uint64_t> requests_;
  std::mt19937_64 random_;
  Counts counts_;
};

}  // namespace quota_gateway::scale
