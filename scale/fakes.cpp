#include "fakes.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <ctime>
#include <optional>
#include <set>
#include <stdexcept>

namespace quota_gateway::scale {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kChunk = 32 << 10;       // bytes of one chunk of an answer
constexpr std::size_t kMostHead = 16 << 10;    // bytes of one that is asked for
constexpr std::size_t kMostGathered = 64;      // buffers that one write takes
constexpr std::size_t kWholeAnew = 10;         // encoded anew once a tenth of it has changed
constexpr Micros kSweep = 1'000'000;           // us
constexpr std::uint64_t kMostBody = 48 << 20;  // bytes

Micros cpu_of(clockid_t clock) {
  timespec t{};
  clock_gettime(clock, &t);
  return Micros(t.tv_sec) * 1'000'000 + t.tv_nsec / 1000;
}

std::string text_of(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

template <typename Number>
void append(std::string& to, Number value) {
  std::array<char, 32> text;
  to.append(text.data(), std::to_chars(text.data(), text.data() + text.size(), value).ptr);
}

void append_entry(std::string& to, const ListedServer& s) {
  constexpr std::array<std::string_view, 3> kPhases = {"up", "draining", "removed"};
  to.append(R"({"id":")").append(s.id).append(R"(","host_port":")").append(s.host_port);
  to.append(R"(","locality":")").append(s.locality).append(R"(","flavor":")").append(s.flavor);
  append(to.append(R"(","cell":)"), s.cell);
  to.append(R"(,"phase":")").append(kPhases.at(std::size_t(s.phase))).append(R"(","size":)");
  append(to, s.size);
  if (s.size == std::floor(s.size)) {
    to.append(".0");
  }
  append(to.append(R"(,"up_since_ms":)"), s.up_since_ms);
  to += '}';
}

void open_list(std::string& to, std::int64_t revision, bool complete) {
  append(to.append(R"({"revision":)"), revision);
  to.append(complete ? R"(,"complete":true,"members":[)" : R"(,"complete":false,"members":[)");
}

// In chunks, as an answer without a length comes.
std::string chunked(std::string_view text) {
  std::string out;
  out.reserve(text.size() + text.size() / kChunk * 16 + 16);
  while (!text.empty()) {
    const std::string_view piece = text.substr(0, kChunk);
    std::array<char, 16> size;
    out.append(size.data(),
               std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16).ptr);
    out.append("\r\n").append(piece).append("\r\n");
    text.remove_prefix(piece.size());
  }
  return out;
}

// Listens on the loopback network alone, whatever it is told.
tcp::acceptor listen(asio::io_context& io, const tcp::endpoint& at) {
  if (!at.address().is_loopback()) {
    throw std::invalid_argument("not a loopback address: " + text_of(at));
  }
  tcp::acceptor acceptor(io);
  acceptor.open(at.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(at);
  acceptor.listen(asio::socket_base::max_listen_connections);
  return acceptor;
}

// The number under `key` in the query of a target; `missing` if there is none.
std::int64_t query(std::string_view target, std::string_view key, std::int64_t missing) {
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    if (rest.substr(0, key.size()) == key && rest.size() > key.size() && rest[key.size()] == '=') {
      std::int64_t value = missing;
      std::from_chars(rest.data() + key.size() + 1, rest.data() + rest.size(), value);
      return value;
    }
    const std::size_t next = rest.find('&');
    at = next == std::string_view::npos ? next : at + 1 + next;
  }
  return missing;
}

}  // namespace

std::size_t raise_descriptor_limit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::runtime_error("no limit of descriptors is told");
  }
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::runtime_error("the limit of descriptors stays");
  }
  return std::size_t(limit.rlim_cur);
}

Micros thread_cpu() {
  return cpu_of(CLOCK_THREAD_CPUTIME_ID);
}

Micros steady_now() {
  using std::chrono::duration_cast;
  return duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// ---- EventLoopThread
// ------------------------------------------------------------------------------------------
EventLoopThread::EventLoopThread()
    : io_(1), work_(io_.get_executor()), thread_([this] { io_.run(); }) {}

EventLoopThread::~EventLoopThread() {
  io_.stop();
  thread_.join();
  while (!hosted_.empty()) {
    hosted_.pop_back();
  }
}

Micros EventLoopThread::cpu_time() const {
  clockid_t clock{};
  if (pthread_getcpuclockid(const_cast<std::thread&>(thread_).native_handle(), &clock) != 0) {
    return 0;
  }
  return cpu_of(clock);
}

// ---- FakeConnection
// --------------------------------------------------------------------------------------------- A
// connection that a stand-in accepted. It stands in its owner's `links` while it is up; once
// detached its handlers touch nothing of the owner, which may be gone.
class FakeConnection : public std::enable_shared_from_this<FakeConnection> {
 public:
  using Buffer = std::shared_ptr<const std::string>;
  FakeConnection(tcp::socket socket, FakeConnections& links, Traffic& traffic)
      : socket_(std::move(socket)), links_(links), traffic_(traffic), heard_(steady_now()) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }
  virtual ~FakeConnection() = default;

  void begin() {
    place_ = links_.size();
    links_.push_back(shared_from_this());
    read();
  }
  void send(Buffer buffer) {
    if (!up_ || buffer->empty()) {
      return;
    }
    unsent_ += buffer->size();
    sent_at_ = steady_now();
    queue_.push_back(std::move(buffer));
    if (!writing_) {
      write();
    }
  }
  void send(std::string text) { send(std::make_shared<const std::string>(std::move(text))); }
  // Without a word on the way; what has not left is dropped.
  void reset() {
    if (!up_) {
      return;
    }
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }
  void close() {
    if (!std::exchange(up_, false)) {
      return;
    }
    error_code ignored;
    socket_.close(ignored);
    ended();
    const auto self = shared_from_this();
    links_.at(place_) = links_.back();
    links_.at(place_)->place_ = place_;
    links_.pop_back();
  }
  bool up() const { return up_; }
  std::size_t unsent() const { return unsent_; }
  Micros sent_at() const { return sent_at_; }
  Micros heard() const { return heard_; }

 protected:
  virtual void took(std::string& in) = 0;
  virtual void ended() {}

 private:
  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [this, self = shared_from_this()](error_code ec, std::size_t size) {
                              if (!up_) {
                                return;
                              }
                              if (ec) {
                                return close();
                              }
                              traffic_.received += size;
                              heard_ = steady_now();
                              in_.append(chunk_.data(), size);
                              took(in_);
                              if (up_) {
                                read();
                              }
                            });
  }
  // Piece by piece, so that what left before a connection broke counts as well.
  void write() {
    writing_ = true;
    std::vector<asio::const_buffer> gathered;
    for (const Buffer& b : queue_) {
      if (gathered.size() == kMostGathered) {
        break;
      }
      gathered.push_back(asio::buffer(*b));
    }
    gathered.front() += begun_;
    socket_.async_write_some(
        gathered, [this, self = shared_from_this()](error_code ec, std::size_t size) {
          if (!up_) {
            return;
          }
          if (ec) {
            return close();
          }
          writing_ = false;
          traffic_.sent += size;
          ++traffic_.writes;
          unsent_ -= size;
          for (begun_ += size; !queue_.empty() && begun_ >= queue_.front()->size();
               queue_.pop_front()) {
            begun_ -= queue_.front()->size();
          }
          if (!queue_.empty()) {
            write();
          }
        });
  }

  tcp::socket socket_;
  FakeConnections& links_;
  Traffic& traffic_;
  std::size_t place_ = 0, unsent_ = 0;
  std::size_t begun_ = 0;  // bytes of the first buffer that have left
  std::deque<Buffer> queue_;
  std::string in_;
  std::array<char, 1024> chunk_;
  Micros heard_, sent_at_ = 0;
  bool up_ = true, writing_ = false;
};

namespace {

void close_all(FakeConnections& links) {
  while (!links.empty()) {
    links.back()->reset();
  }
}

// Takes connections for as long as `acceptor` is open.
template <typename Taken>
void accept_all(tcp::acceptor& acceptor, Taken taken) {
  acceptor.async_accept([&acceptor, taken](error_code ec, tcp::socket socket) {
    // Danger: out of descriptors it would be asked again at once, for ever; whoever sizes a run
    // checks them.
    if (ec || !acceptor.is_open()) {
      return;
    }
    taken(std::move(socket));
    accept_all(acceptor, taken);
  });
}

}  // namespace

// ---- FakeDiscovery
// -----------------------------------------------------------------------------------
class FakeDiscovery::Connection : public FakeConnection {
 public:
  Connection(tcp::socket socket, FakeDiscovery& agent)
      : FakeConnection(std::move(socket), agent.links_, agent.counts_.traffic), agent_(agent) {}
  bool watching = false;
  std::int64_t told = -1;            // the revision up to which it has been told
  std::vector<std::string> waiting;  // targets, asked for while the agent was silent

 protected:
  void took(std::string& in) override {
    if (watching) {
      return in.clear();  // a watch lasts until its connection ends
    }
    std::size_t end;
    while (up() && !watching && (end = in.find("\r\n\r\n")) != std::string::npos) {
      const std::string head = in.substr(0, end);
      in.erase(0, end + 4);
      const std::size_t space = head.find(' ');
      const std::size_t stop = head.find(" HTTP/1.1");
      if (head.rfind("GET ", 0) != 0 || stop == std::string::npos || stop <= space) {
        return reset();
      }
      agent_.asked(std::static_pointer_cast<Connection>(shared_from_this()),
                   head.substr(space + 1, stop - space - 1));
    }
    if (in.size() > kMostHead) {
      reset();
    }
  }
  void ended() override {
    if (watching) {
      --agent_.counts_.watchers;
    }
  }

 private:
  FakeDiscovery& agent_;
};

FakeDiscovery::FakeDiscovery(asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      address_(asio::ip::make_address(options_.host), options_.port),
      acceptor_(io),
      timer_(io),
      servers_(options_.servers),
      revision_(options_.revision),
      oldest_(options_.revision),
      heartbeat_(std::make_shared<const std::string>(chunked("\n"))) {
  index_.reserve(servers_.size());
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    index_[servers_[i].id] = std::uint32_t(i);
  }
  start();
  beat();
}

FakeDiscovery::~FakeDiscovery() {
  close_all(links_);
  error_code ignored;
  acceptor_.close(ignored);
}

std::string FakeDiscovery::host_port() const {
  return text_of(address_);
}

void FakeDiscovery::start() {
  if (std::exchange(running_, true)) {
    return;
  }
  acceptor_ = listen(io_, address_);
  address_ = acceptor_.local_endpoint();
  accept_all(acceptor_, [this](tcp::socket socket) {
    ++counts_.connections;
    std::make_shared<Connection>(std::move(socket), *this)->begin();
  });
}

void FakeDiscovery::stop() {
  running_ = false;
  error_code ignored;
  acceptor_.close(ignored);
  close_all(links_);
}

template <typename What>
void FakeDiscovery::each_watcher(What what) {
  const FakeConnections links = links_;  // one that is broken off leaves its place
  for (const auto& link : links) {
    if (auto& c = static_cast<Connection&>(*link); c.up() && c.watching) {
      what(c);
    }
  }
}

std::int64_t FakeDiscovery::publish(const std::vector<ListedServer>& entries) {
  Past past{++revision_, {}};
  for (const ListedServer& e : entries) {
    const auto [it, fresh] = index_.try_emplace(e.id, std::uint32_t(servers_.size()));
    if (fresh) {
      servers_.push_back(e);
    } else {
      servers_[it->second] = e;
    }
    past.changed.push_back(it->second);
  }
  history_entries_ += past.changed.size();
  history_.push_back(std::move(past));
  while (history_entries_ > options_.history && !history_.empty()) {
    history_entries_ -= history_.front().changed.size();
    oldest_ = history_.front().revision;
    history_.pop_front();
  }
  differences_.clear();
  if (silent_) {
    return revision_;
  }
  each_watcher([this](Connection& c) {
    if (c.unsent() > options_.most_unsent) {
      ++counts_.too_slow;
      return c.reset();
    }
    ++counts_.changes;
    update(c, revision_ - 1);
  });
  return revision_;
}

// Whether at most so many entries changed after that revision.
bool FakeDiscovery::few_since(std::int64_t after, std::size_t most) const {
  if (after < oldest_) {
    return false;
  }
  std::size_t entries = 0;
  for (auto it = history_.rbegin(); it != history_.rend() && it->revision > after; ++it) {
    if ((entries += it->changed.size()) > most) {
      return false;
    }
  }
  return true;
}

// What changed after that revision, each server as it is now, as one object.
FakeDiscovery::Buffer FakeDiscovery::difference(std::int64_t after) {
  Buffer& buffer = differences_[after];
  if (buffer) {
    return buffer;
  }
  std::set<std::uint32_t> changed;
  for (auto it = history_.rbegin(); it != history_.rend() && it->revision > after; ++it) {
    changed.insert(it->changed.begin(), it->changed.end());
  }
  std::string text;
  open_list(text, revision_, false);
  for (const std::uint32_t i : changed) {
    append_entry(text, servers_[i]);
    text += ',';
  }
  if (!changed.empty()) {
    text.pop_back();
  }
  return buffer = std::make_shared<const std::string>(chunked(text.append("]}\n")));
}

// An encoded list serves while little has changed since; the difference comes right behind it.
void FakeDiscovery::send_whole(Connection& watcher) {
  const bool fresh = whole_ && few_since(whole_at_, servers_.size() / kWholeAnew);
  if (!fresh && whole_at_ != revision_) {
    std::string text;
    open_list(text, revision_, true);
    for (const ListedServer& s : servers_) {
      if (s.phase == Phase::kRemoved) {
        continue;
      }
      append_entry(text, s);
      text += ',';
    }
    if (text.back() == ',') {
      text.pop_back();
    }
    whole_ = std::make_shared<const std::string>(chunked(text.append("]}\n")));
    whole_at_ = revision_;
  }
  ++counts_.full_lists;
  watcher.send(whole_);
  if (whole_at_ < revision_) {
    watcher.send(difference(whole_at_));
  }
}

void FakeDiscovery::update(Connection& watcher, std::int64_t after) {
  if (after >= oldest_ && after <= revision_) {
    if (after < revision_) {
      watcher.send(difference(after));
    }
  } else {
    send_whole(watcher);
  }
  watcher.told = revision_;
}

void FakeDiscovery::asked(const std::shared_ptr<Connection>& by, const std::string& target) {
  if (silent_) {
    by->waiting.push_back(target);
    return;
  }
  ++counts_.asks;
  ++counts_.asks_by_second[steady_now() / 1'000'000];
  if (turned_away_status_ != 0) {
    ++counts_.turned_away;
    std::string refusal = "HTTP/1.1 " + std::to_string(turned_away_status_) + " Turned Away\r\n";
    if (retry_after_s_ > 0) {
      refusal += "Retry-After: " + std::to_string(retry_after_s_) + "\r\n";
    }
    return by->send(refusal + "Content-Length: 0\r\n\r\n");
  }
  const std::string path = target.substr(0, target.find('?'));
  if (path != "/catalog/members") {
    return by->send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
  }
  if (query(target, "watch", 0) == 1) {
    by->watching = true;
    ++counts_.watchers;
    by->send(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::int64_t after = query(target, "after", -1);
    if (after >= oldest_ && after < revision_) {
      ++counts_.differences;
    }
    return update(*by, after);
  }
  std::string text;
  open_list(text, revision_, true);
  bool first = true;
  for (const ListedServer& s : servers_) {
    if (s.phase == Phase::kRemoved) {
      continue;
    }
    if (!std::exchange(first, false)) {
      text += ',';
    }
    append_entry(text, s);
  }
  text += "]}\n";
  ++counts_.full_lists;
  by->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text);
}

// Looks several times in each period, so that the gap between two lines stays near it, half a look
// to each side.
void FakeDiscovery::beat() {
  constexpr int kLooks = 10;
  timer_.expires_at(
      std::max(std::chrono::steady_clock::now(),
               timer_.expiry() + std::chrono::microseconds(options_.heartbeat_interval / kLooks)));
  timer_.async_wait([this](error_code ec) {
    if (ec) {
      return;
    }
    const Micros due =
        steady_now() - options_.heartbeat_interval + options_.heartbeat_interval / kLooks / 2;
    if (!silent_) {
      for (const auto& link : links_) {
        auto& c = static_cast<Connection&>(*link);
        if (!c.watching || c.sent_at() > due || c.unsent() > 0) {
          continue;
        }
        ++counts_.heartbeats;
        c.send(heartbeat_);
      }
    }
    beat();
  });
}

void FakeDiscovery::set_silent(bool silent) {
  if (std::exchange(silent_, silent) == silent || silent) {
    return;
  }
  each_watcher([this](Connection& c) {
    if (c.told < revision_) {
      update(c, c.told);
    }
  });
  const FakeConnections links = links_;
  for (const auto& link : links) {
    const auto c = std::static_pointer_cast<Connection>(link);
    for (const std::string& target : std::exchange(c->waiting, {})) {
      asked(c, target);
    }
  }
}

void FakeDiscovery::turn_away(int status, int retry_after_s) {
  turned_away_status_ = status;
  retry_after_s_ = retry_after_s;
}

void FakeDiscovery::forget_history() {
  history_.clear();
  history_entries_ = 0;
  oldest_ = revision_;
}

void FakeDiscovery::break_off(std::size_t every) {
  std::size_t number = 0;
  each_watcher([&](Connection& c) {
    if (number++ % std::max<std::size_t>(1, every) == 0) {
      c.reset();
    }
  });
}

FakeDiscovery::Counts FakeDiscovery::counts() const {
  return counts_;
}

// ---- FakeCounter
// ------------------------------------------------------------------------------------
class FakeCounter::Connection : public FakeConnection {
 public:
  Connection(tcp::socket socket, FakeCounter& counter)
      : FakeConnection(std::move(socket), counter.links_, counter.counts_.traffic),
        counter_(counter) {}
  std::uint64_t expect() {
    answers_.emplace_back();
    return first_ + answers_.size() - 1;
  }
  // Answers leave in the order of the calls.
  void answer(std::uint64_t place, std::string text) {
    answers_.at(std::size_t(place - first_)) = std::move(text);
    while (!answers_.empty() && answers_.front()) {
      ready_ += *answers_.front();
      answers_.pop_front();
      ++first_;
    }
    if (!taking_ && !ready_.empty()) {
      send(std::exchange(ready_, {}));
    }
  }

 protected:
  void took(std::string& in) override {
    taking_ = true;
    std::string_view rest = in;
    while (up() && next(rest)) {
      continue;
    }
    in.erase(0, in.size() - rest.size());
    taking_ = false;
    if (!ready_.empty()) {
      send(std::exchange(ready_, {}));
    }
  }

 private:
  // A whole call at the beginning of `rest` is taken off it. Anything but arrays of bulk strings
  // ends it.
  bool next(std::string_view& rest) {
    std::string_view in = rest;
    const auto count = number(in, '*');
    if (!count) {
      return false;
    }
    std::vector<std::string_view> words;
    for (std::int64_t i = 0; i < *count; ++i) {
      const auto size = number(in, '$');
      if (!size || in.size() < std::size_t(*size) + 2) {
        return false;
      }
      words.push_back(in.substr(0, std::size_t(*size)));
      in.remove_prefix(std::size_t(*size) + 2);
    }
    rest = in;
    counter_.took(std::static_pointer_cast<Connection>(shared_from_this()), words);
    return true;
  }
  std::optional<std::int64_t> number(std::string_view& in, char sign) {
    const std::size_t end = in.find("\r\n");
    if (end == std::string_view::npos) {
      return std::nullopt;
    }
    std::int64_t value = -1;
    std::from_chars(in.data() + 1, in.data() + end, value);
    if (in[0] != sign || value < 0 || value > std::int64_t(kMostHead)) {
      reset();
      return std::nullopt;
    }
    in.remove_prefix(end + 2);
    return value;
  }

  FakeCounter& counter_;
  std::deque<std::optional<std::string>> answers_;
  std::uint64_t first_ = 0;
  std::string ready_;
  bool taking_ = false;
};

// Serves calls in turn, also those that nobody waits for any more.
class FakeCounter::Part {
 public:
  explicit Part(FakeCounter& counter) : counter_(counter), timer_(counter.io_) {}
  void take(Call call) {
    if (counter_.options_.calls_per_s <= 0 && !down_) {
      return serve(call);
    }
    const double most = double(counter_.options_.line) * rate() / 1e6;
    if (double(line_.size()) >= std::max(1.0, most)) {
      ++counter_.counts_.turned_away;
      if (const auto by = call.by.lock()) {
        by->answer(call.place, "-BUSY the line is long\r\n");
      }
      return;
    }
    line_.push_back(std::move(call));
    if (line_.size() == 1 && !down_) {
      begin();
    }
  }
  void set_down(bool down) {
    if (std::exchange(down_, down) == down) {
      return;
    }
    timer_.cancel();
    if (!down && !line_.empty()) {
      begin();
    }
  }
  void clear() { line_.clear(); }

 private:
  double rate() const {
    constexpr double kNoLimit = 1e5;  // calls a second that a part without a limit catches up with
    return counter_.options_.calls_per_s > 0 ? counter_.options_.calls_per_s : kNoLimit;
  }
  void begin() {
    next_ = std::max(next_, double(steady_now()));
    arm();
  }
  void arm() {
    next_ += 1e6 / rate();
    timer_.expires_at(
        std::chrono::steady_clock::time_point(std::chrono::microseconds(Micros(next_))));
    timer_.async_wait([this](error_code ec) {
      if (ec || down_ || line_.empty()) {
        return;
      }
      const double now = double(steady_now());
      for (bool first = true; !line_.empty() && (first || next_ + 1e6 / rate() <= now);
           first = false) {
        if (!first) {
          next_ += 1e6 / rate();
        }
        const Call call = std::move(line_.front());
        line_.pop_front();
        serve(call);
      }
      if (!line_.empty()) {
        arm();
      }
    });
  }
  void serve(const Call& call) {
    const std::string total = counter_.add(call);
    if (const auto by = call.by.lock()) {
      by->answer(call.place, "$" + std::to_string(total.size()) + "\r\n" + total + "\r\n");
    }
  }

  FakeCounter& counter_;
  asio::steady_timer timer_;
  std::deque<Call> line_;
  double next_ = 0;  // us; until then it is busy
  bool down_ = false;
};

FakeCounter::FakeCounter(asio::io_context& io, Options options)
    : io_(io),
      options_(options),
      address_(asio::ip::address_v4::loopback(), options.port),
      acceptor_(io),
      sweep_(io),
      swept_(steady_now() / kSweep),
      begun_(options.begun) {
  for (std::size_t i = 0; i < std::max<std::size_t>(1, options.parts); ++i) {
    parts_.push_back(std::make_unique<Part>(*this));
  }
  start();
  sweep();
}

FakeCounter::~FakeCounter() {
  close_all(links_);
  error_code ignored;
  acceptor_.close(ignored);
}

std::string FakeCounter::host_port() const {
  return text_of(address_);
}

void FakeCounter::start() {
  if (acceptor_.is_open()) {
    return;
  }
  acceptor_ = listen(io_, address_);
  address_ = acceptor_.local_endpoint();
  accept_all(acceptor_, [this](tcp::socket socket) {
    ++counts_.connections;
    std::make_shared<Connection>(std::move(socket), *this)->begin();
  });
}

void FakeCounter::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  close_all(links_);
  for (const auto& part : parts_) {
    part->clear();
  }
  totals_.clear();
}

void FakeCounter::set_down(std::size_t part, bool down) {
  parts_.at(part)->set_down(down);
}

// Danger: the page's limit of 32 connections a gateway is not kept here: all gateways of a bench
// come from one address, and can't be told apart.
void FakeCounter::took(const std::shared_ptr<Connection>& by,
                       const std::vector<std::string_view>& words) {
  const std::uint64_t place = by->expect();
  const std::string_view what = words.empty() ? std::string_view() : words[0];
  if (what == "PING") {
    ++counts_.pings;
    return by->answer(place, "+PONG\r\n");
  }
  if (what == "CLIENT" || what == "SELECT") {
    return by->answer(place, "+OK\r\n");
  }
  Call call;
  Micros life = 0;
  const auto parsed = [](std::string_view text, auto& value) {
    const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && stop == text.data() + text.size();
  };
  if (what != "CNT.ADD" || words.size() != 4 || words[1].empty() || words[1].size() > 64 ||
      !parsed(words[2], call.amount) || !(std::abs(call.amount) <= 1e9) ||
      !parsed(words[3], life) || life < 1) {
    ++counts_.not_understood;
    return by->answer(place, "-ERR no such call\r\n");
  }
  ++counts_.calls;
  if (!begun_) {
    ++counts_.turned_away;
    return by->answer(place, "-BUSY not begun\r\n");
  }
  call.name = words[1];
  call.life = std::min<Micros>(life, 60'000) * 1000;
  call.by = by;
  call.place = place;
  parts_[std::hash<std::string>()(call.name) % parts_.size()]->take(std::move(call));
}

std::string FakeCounter::add(const Call& call) {
  const Micros now = steady_now();
  Total& total = totals_[call.name];
  if (total.until <= now) {
    total = {0, now + call.life};
    dying_[std::size_t(total.until / kSweep + 1) % dying_.size()].push_back(call.name);
  }
  total.sum += call.amount;
  std::array<char, 48> text;
  constexpr int kDigits = 10;  // exact to seven
  const auto end = std::to_chars(text.data(), text.data() + text.size(), total.sum,
                                 std::chars_format::general, kDigits);
  return {text.data(), end.ptr};
}

void FakeCounter::sweep() {
  sweep_.expires_after(std::chrono::microseconds(kSweep));
  sweep_.async_wait([this](error_code ec) {
    if (ec) {
      return;
    }
    const Micros now = steady_now();
    while (swept_ < now / kSweep) {
      for (const std::string& name :
           std::exchange(dying_[std::size_t(++swept_) % dying_.size()], {})) {
        if (const auto it = totals_.find(name); it != totals_.end() && it->second.until <= now) {
          totals_.erase(it);
        }
      }
    }
    const FakeConnections links = links_;
    for (const auto& link : links) {
      if (now - link->heard() > options_.closes_idle) {
        link->close();
      }
    }
    sweep();
  });
}

FakeCounter::Counts FakeCounter::counts() const {
  Counts counts = counts_;
  counts.names = totals_.size();
  return counts;
}

// ---- FakeEndpoints
// ------------------------------------------------------------------------------------
class FakeEndpoints::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, FakeEndpoints& servers, std::size_t server)
      : socket_(std::move(socket)), timer_(servers.io_), servers_(servers), server_(server) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }
  void read() {
    parser_.emplace();
    parser_->body_limit(kMostBody);
    http::async_read(
        socket_, buffer_, *parser_,
        [this, self = shared_from_this()](error_code ec, std::size_t n) {
          if (ec) {
            return;
          }
          servers_.counts_.traffic.received += n;
          ++servers_.counts_.requests;
          ++servers_.requests_[server_];
          const Answer& answer = servers_.answers_[server_];
          const auto& request = parser_->get();
          const bool probe = request.target() == "/ping" || request.target() == "/_load";
          if (probe || request.find("X-Trace-Id") == request.end()) {
            return respond(404, false, "");
          }
          const double spread =
              std::uniform_real_distribution<>(-1, 1)(servers_.random_) * answer.service_spread;
          timer_.expires_after(
              std::chrono::microseconds(Micros(double(answer.service) * (1 + spread))));
          timer_.async_wait([this, self, answer](error_code late) {
            if (!late) {
              respond(answer.status, answer.never_ran, answer.status == 200 ? answer.body : "");
            }
          });
        });
  }

 private:
  void respond(int status, bool never_ran, const std::string& body) {
    ++servers_.counts_.answers[status];
    out_ = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    if (never_ran) {
      out_ += "X-Never-Ran: 1\r\n";
    }
    out_ += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    asio::async_write(socket_, asio::buffer(out_),
                      [this, self = shared_from_this()](error_code ec, std::size_t n) {
                        if (ec) {
                          return;
                        }
                        servers_.counts_.traffic.sent += n;
                        ++servers_.counts_.traffic.writes;
                        if (parser_->get().keep_alive()) {
                          read();
                        }
                      });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  FakeEndpoints& servers_;
  const std::size_t server_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string out_;
};

FakeEndpoints::FakeEndpoints(asio::io_context& io, std::size_t listening, std::uint64_t seed)
    : FakeEndpoints(io, listening, seed, Answer{}) {}

FakeEndpoints::FakeEndpoints(asio::io_context& io, std::size_t listening, std::uint64_t seed,
                             Answer answer)
    : io_(io), answers_(listening, answer), requests_(listening), random_(seed) {
  if (listening == 0) {
    throw std::invalid_argument("no server that listens");
  }
  acceptors_.reserve(listening);  // their accepting holds on to where they are
  for (std::size_t i = 0; i < listening; ++i) {
    acceptors_.push_back(listen(io, {asio::ip::address_v4::loopback(), 0}));
    accept(i);
  }
}

FakeEndpoints::~FakeEndpoints() = default;

void FakeEndpoints::accept(std::size_t server) {
  accept_all(acceptors_[server], [this, server](tcp::socket socket) {
    ++counts_.connections;
    std::make_shared<Connection>(std::move(socket), *this, server)->read();
  });
}

tcp::endpoint FakeEndpoints::address(std::size_t server) const {
  return acceptors_.at(server % acceptors_.size()).local_endpoint();
}
std::string FakeEndpoints::host_port(std::size_t server) const {
  return text_of(address(server));
}
void FakeEndpoints::set_answer(std::size_t server, Answer answer) {
  answers_.at(server % answers_.size()) = std::move(answer);
}
void FakeEndpoints::set_answer(Answer answer) {
  answers_.assign(answers_.size(), answer);
}

}  // namespace quota_gateway::scale
