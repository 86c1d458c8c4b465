#include "net/upstream/connection_pool.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <cerrno>
#include <charconv>
#include <optional>
#include <string_view>

#include "net/http/framing.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using ResponseParser = http::response_parser<IncrementalBody>;

constexpr Micros kReuseLeast = 100'000;  // us that a kept connection may rest, whatever was seen
constexpr double kReuseCut = 0.5;        // of the rest after which one was reset
constexpr double kReuseGrow = 1.05;      // an answer after a rest near the bound
constexpr double kIdleShare = 0.4;  // of the servers' idle limit; they may close somewhat earlier
constexpr Micros kSweep = 500'000;
constexpr std::uint32_t kMostHeader = 16 << 10;
constexpr int kMostInterim = 16;  // 1xx answers ahead of one
constexpr Micros kQuiet =
    250'000;  // us without a byte of an answer that has begun: it is stuck, not slow
constexpr Micros kStuck =
    5'000'000;  // us of the same, once some of it went to the client; or to take a piece
constexpr double kMostUnits = 1e4, kMostPercent = 1e6;  // that an honest server tells

// A name of a load report, the field that it fills and the most that an honest server says.
struct LoadField {
  std::string_view name;
  std::optional<double> LoadReport::*field;
  double most;
};
constexpr std::array<LoadField, 12> kLoadFields{{{"inflight", &LoadReport::in_flight, 1e5},
                                                 {"active", &LoadReport::in_flight, 1e5},
                                                 {"queue", &LoadReport::queued, 1e5},
                                                 {"waiting", &LoadReport::queued, 1e5},
                                                 {"util", &LoadReport::cpu, 100},
                                                 {"cpu", &LoadReport::cpu, 100},
                                                 {"latency_ms", &LoadReport::service_ms, 1e7},
                                                 {"avg_ms", &LoadReport::service_ms, 1e7},
                                                 {"qps", &LoadReport::served_per_s, 1e7},
                                                 {"rps", &LoadReport::served_per_s, 1e7},
                                                 {"eps", &LoadReport::errors_per_s, 1e7},
                                                 {"err_rps", &LoadReport::errors_per_s, 1e7}}};

// "TEXT inflight=7, queue=2, util=0.61". Names that we don't know count as not said. Danger: of a
// report with one absurd figure the others are no better, and would steer requests; all of it
// counts as not said.
LoadReport parse_load(std::string_view text) {
  LoadReport load;
  if (text.substr(0, 5) == "TEXT ") {
    text.remove_prefix(5);
  }
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    std::string_view part = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
    const auto equals = std::min(part.find('='), part.size());
    const auto known =
        std::find_if(kLoadFields.begin(), kLoadFields.end(),
                     [&](const LoadField& f) { return f.name == part.substr(0, equals); });
    if (known == kLoadFields.end()) {
      continue;
    }
    part.remove_prefix(std::min(equals + 1, part.size()));
    double value = 0;
    const auto [stop, ec] = std::from_chars(part.data(), part.data() + part.size(), value);
    const bool read = ec == std::errc() && stop == part.data() + part.size();
    if (!read || !(value >= 0 && value <= known->most)) {
      return {};
    }
    load.*known->field = value;
  }
  return load;
}

// A figure that stands alone in a field; below 0 where there is none that an honest server says.
std::optional<double> parse_figure(boost::beast::string_view text, double most) {
  double value = 0;
  const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool read = ec == std::errc() && stop == text.data() + text.size();
  if (!read || !(value >= 0 && value <= most)) {
    return std::nullopt;
  }
  return value;
}

// Never-ran only when the protocol proves it: a plain 503 or 504 may come from a server that did
// the work.
Outcome outcome_of(const http::response<IncrementalBody>& answer) {
  if (answer.result() == http::status::ok) {
    return Outcome::kOk;
  }
  const bool turned_away = answer.result() == http::status::service_unavailable ||
                           answer.result() == http::status::gateway_timeout;
  return turned_away && answer["X-Never-Ran"] == "1" ? Outcome::kOverloaded : Outcome::kError;
}

}  // namespace

// Danger: every handler may run after its connection was closed; each asks `closed` first.
class ConnectionPool::Connection {
 public:
  explicit Connection(asio::io_context& io) : socket(io) {}
  enum class State { kConnecting, kWriting, kWaiting, kIdle, kClosed };
  State state = State::kConnecting;
  std::string server;
  tcp::endpoint address;
  Micros started_at = 0;  // of the process that it was opened to
  tcp::socket socket;
  AttemptKey attempt;
  std::string out, pending;
  std::optional<ResponseParser> parser;
  bool reading = false;
  bool broken = false;       // while the request was being written
  bool more = false;         // of the request's body is to come
  bool chunked = false;      // the request's body goes in chunks
  bool writing = false;      // `out` is being written
  bool streaming = false;    // some of the answer has been told
  bool held = false;         // what was told last has not been passed on yet
  bool done = false;         // nothing of the answer is left but to end
  Micros began = 0;          // when the answer's first byte came
  Micros heard = 0;          // when some of the answer came last
  std::uint64_t pieces = 0;  // of the request's body, so far
  int interim = 0;
  Micros idle_since = 0;
  Micros rested = 0;  // before the request that it carries; 0: its first

  // Danger: a parser that goes straight on to the body forgets that the length was over the limit,
  // and takes 3 GB in. So the head comes by itself, and only then the rest (see `put`).
  void expect_answer() {
    parser.emplace();
    parser->header_limit(kMostHeader);
    parser->body_limit(kMaxBodyBytes);
  }

  // Takes in what has come. False if more is needed; throws on what is no answer.
  bool put() {
    while (!parser->is_done()) {
      if (pending.empty()) {
        return false;
      }
      error_code ec;
      pending.erase(0, parser->put(asio::buffer(pending), ec));
      if (ec == http::error::need_more) {
        return false;
      }
      if (ec) {
        throw boost::system::system_error(ec);  // not HTTP, or too large
      }
      if (parser->is_header_done() && !parser->eager()) {
        look_at_head();
      }
    }
    return true;
  }

  // What has no length of its own can't be told from one that was cut short.
  void look_at_head() {
    const auto& head = parser->get();
    check_framing(head, head.version() == 11);
    if (parser->need_eof() && !is_interim()) {
      throw HttpError("no length");
    }
    parser->eager(true);
  }

  // By the number: the library's list of statuses lacks some, 103 among them.
  bool is_interim() const { return parser->get().result_int() / 100 == 1; }

  // Danger: bytes behind an answer may be the rest of it, if its length was said too small; what
  // was cut off must not be served. A chunked one shows its own end, and what begins like an answer
  // is another one.
  bool is_cut_short() const {
    return !pending.empty() && !parser->chunked() && pending.compare(0, 5, "HTTP/", 0, 5) != 0;
  }
};

ConnectionPool::ConnectionPool(asio::io_context& io, Timers& timers, const Clock& clock,
                               ConnectionPoolLimits limits, AttemptEvents events)
    : io_(io),
      timers_(timers),
      clock_(clock),
      limits_(limits),
      events_(std::move(events)),
      reuse_for_(Micros(kIdleShare * double(limits.idle))) {
  sweep();
}
ConnectionPool::~ConnectionPool() = default;

std::vector<std::string> ConnectionPool::update(const EndpointList& list) {
  std::vector<std::string> replaced;
  take(list);
  while (!settled()) {
    for (auto& server : apply().replaced) {
      replaced.push_back(std::move(server));
    }
  }
  return replaced;
}

// Danger: connections to a process that is gone may stay open and silent.
EndpointChanges ConnectionPool::apply() {
  EndpointChanges difference = catalog_.apply();
  for (const auto& server : difference.stale_connections) {
    forget(server);
  }
  return difference;
}

void ConnectionPool::bound(std::size_t connections) {
  limits_.connections = connections;
  while (open_ > connections && drop_oldest()) {
  }
}

void ConnectionPool::forget(const std::string& server) {
  const auto pool = pools_.find(server);
  if (pool == pools_.end()) {
    return;
  }
  // The pool goes with its last connection.
  for (const Held& c : Pool(pool->second)) {
    drop(*c);
  }
}

void ConnectionPool::send(AttemptKey key, const std::string& server, const ForwardedRequest& what,
                          Micros until) {
  const auto found = catalog_.find(server);
  if (!found || !found->up) {
    return end_later(key, Outcome::kNotSent);
  }
  Held c = take_idle(server);
  const bool fresh = !c;
  if (fresh) {
    if (!make_room()) {
      return end_later(key, Outcome::kNotSent);
    }
    c = std::make_shared<Connection>(io_);
    c->server = server;
    c->address = found->address;
    c->started_at = found->started_at;
    ++open_;
  }
  c->attempt = key;
  c->out.clear();
  c->out.append(what.method)
      .append(" ")
      .append(what.target)
      .append(" HTTP/1.1\r\nHost: ")
      .append(what.host);
  c->out.append("\r\nX-Trace-Id: ").append(what.trace_id);
  if (!what.idempotency_key.empty()) {
    c->out.append("\r\nIdempotency-Key: ").append(what.idempotency_key);
  }
  c->out.append("\r\nX-Expires-In: ")
      .append(std::to_string(std::max<Micros>(1, until - clock_.now())));
  c->out.append("u");
  c->more = !what.body_complete;
  c->chunked = c->more && !what.content_length;
  const auto length = what.body_complete ? what.body.size() : what.content_length.value_or(0);
  if (c->chunked) {
    c->out.append("\r\nTransfer-Encoding: chunked");
  } else if (length > 0 || what.method != "GET") {
    c->out.append("\r\nContent-Length: ").append(std::to_string(length));
  }
  c->out.append("\r\n\r\n").append(c->chunked ? encode_chunk(what.body) : what.body);
  attempts_.emplace(key, c);
  fresh ? connect(c) : write(c);
}

bool ConnectionPool::abandon(AttemptKey key) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end()) {
    return false;
  }
  const Held c = it->second;
  const bool written = c->state != Connection::State::kConnecting && !c->more;
  attempts_.erase(it);
  // A reset, so that nothing that is still on its way is taken for a request, nor an answer waited
  // for.
  error_code ignored;
  c->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  drop(*c);
  return written;
}

ConnectionPool::Held ConnectionPool::take_idle(const std::string& server) {
  const Micros now = clock_.now();
  // Danger: what still comes after an answer would be read as that to the next request.
  const auto settled = [&](const Held& c) { return now - c->idle_since >= limits_.settle; };
  while (true) {
    const auto pool = pools_.find(server);
    if (pool == pools_.end()) {
      return nullptr;
    }
    const auto last = std::find_if(pool->second.rbegin(), pool->second.rend(), settled);
    if (last == pool->second.rend()) {
      return nullptr;
    }
    const Held c = *last;
    char byte;
    const auto got = ::recv(c->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool open = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (open && now - c->idle_since < reuse_for_) {
      c->rested = now - c->idle_since;
      forget_idle(*c);
      return c;
    }
    drop(*c);  // closed by the server, about to be, or with an answer to nothing
  }
}

bool ConnectionPool::make_room() {
  return open_ < limits_.connections || drop_oldest();
}

// Closes what has idled longest. False if nothing idles.
bool ConnectionPool::drop_oldest() {
  const Held* oldest = nullptr;
  for (const auto& [server, pool] : pools_) {
    if (!oldest || pool.front()->idle_since < (*oldest)->idle_since) {
      oldest = &pool.front();
    }
  }
  if (!oldest) {
    return false;
  }
  drop(*Held(*oldest));
  return true;
}

void ConnectionPool::connect(const Held& c) {
  c->socket.async_connect(c->address, [this, c](error_code ec) {
    if (c->state != Connection::State::kConnecting) {
      return;
    }
    if (ec) {
      return end(c, {Outcome::kConnectFailed, {}, {}}, false);
    }
    // Danger: the server may have been told off while the connect was under way, or be another
    // process by now.
    const auto now = catalog_.find(c->server);
    if (!now || !now->up || now->address != c->address || now->started_at != c->started_at) {
      return end(c, {Outcome::kNotSent, {}, {}}, false);
    }
    error_code ignored;
    c->socket.set_option(tcp::no_delay(true), ignored);
    c->socket.non_blocking(true, ignored);
    write(c);
  });
  timers_.after(limits_.dial_timeout, [this, weak = std::weak_ptr<Connection>(c)] {
    const Held c = weak.lock();
    if (c && c->state == Connection::State::kConnecting) {
      end(c, {Outcome::kConnectFailed, {}, {}}, false);
    }
  });
}

// Small requests are written at once: then there is no doubt whether the last byte has left.
void ConnectionPool::write(const Held& c) {
  c->state = Connection::State::kWriting;
  c->interim = 0;
  c->streaming = c->held = c->done = false;
  c->expect_answer();
  error_code ec;
  const std::size_t size = c->socket.write_some(asio::buffer(c->out), ec);
  if (size == c->out.size()) {
    left(c);
  } else if (ec && ec != asio::error::would_block) {
    const AttemptKey key = c->attempt;
    attempts_.erase(key);
    drop(*c);
    return end_later(key, Outcome::kConnectFailed);  // its last byte never left
  } else {
    write_rest(c, size);
  }
  read(c);
}

void ConnectionPool::write_rest(const Held& c, std::size_t from) {
  c->writing = true;
  const auto rest = asio::buffer(c->out) + from;
  asio::async_write(c->socket, rest, [this, c](error_code ec, std::size_t) {
    c->writing = false;
    if (c->state != Connection::State::kWriting) {
      return;
    }
    if (ec) {
      return end(c, {Outcome::kConnectFailed, {}, {}}, false);
    }
    left(c);
    if (c->broken) {
      end(c, {c->more ? Outcome::kConnectFailed : Outcome::kReset, {}, {}}, false);
    }
  });
  if (!c->more) {
    return;
  }
  // A server that takes nothing of a long body.
  timers_.after(
      kStuck, [this, key = c->attempt, pieces = ++c->pieces, weak = std::weak_ptr<Connection>(c)] {
        const Held c = weak.lock();
        if (c && c->state == Connection::State::kWriting && c->attempt == key && c->writing &&
            c->pieces == pieces) {
          end(c, {Outcome::kConnectFailed, {}, {}}, false);
        }
      });
}

// All of `out` has left.
void ConnectionPool::left(const Held& c) {
  if (c->more) {
    asio::post(io_, [this, c, key = c->attempt] {
      if (c->state == Connection::State::kWriting && c->attempt == key) {
        events_.wants(key);
      }
    });
    return;
  }
  c->state = Connection::State::kWaiting;
  events_.written(c->attempt);
}

void ConnectionPool::feed(AttemptKey key, const std::string& piece, bool last) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end() || !it->second->more || it->second->writing) {
    return;
  }
  const Held c = it->second;
  c->more = !last;
  c->out = c->chunked && !piece.empty() ? encode_chunk(piece) : piece;
  if (c->chunked && last) {
    c->out += kLastChunk;
  }
  c->out.empty() ? left(c) : write_rest(c, 0);
}

void ConnectionPool::read(const Held& c) {
  if (c->reading) {
    return;
  }
  c->reading = true;
  c->socket.async_wait(tcp::socket::wait_read, [this, c](error_code ec) {
    c->reading = false;
    if (c->state == Connection::State::kClosed) {
      return;
    }
    if (c->state == Connection::State::kIdle) {
      return drop(*c);  // closed, or an answer to nothing
    }
    std::size_t size = 0;
    if (!ec) {
      size = c->socket.read_some(asio::buffer(scratch_), ec);
    }
    if (ec == asio::error::would_block) {
      return read(c);
    }
    if (ec) {
      return broke(c);
    }
    took(c, size);
    if (c->state != Connection::State::kClosed && !c->broken && !c->held) {
      read(c);
    }
  });
}

void ConnectionPool::took(const Held& c, std::size_t size) {
  // Bytes that come before the request has gone can't be its answer, but for a server that wants no
  // more of a long one.
  if (c->state == Connection::State::kWriting && !c->more) {
    return broke(c);
  }
  const bool begins = c->pending.empty() && !c->parser->got_some();
  c->heard = clock_.now();
  if (begins) {
    c->began = c->heard;
  }
  c->pending.append(scratch_.data(), size);
  try {
    while (c->put()) {
      if (!c->is_interim()) {
        return whole(c);
      }
      if (++c->interim > kMostInterim) {
        throw HttpError("1xx without end");
      }
      c->expect_answer();
      if (c->pending.empty()) {
        return;
      }
    }
    if (begins) {
      watch_answer(c);
    }
    if (!c->more) {
      relay(c);
    }
  } catch (const std::exception&) {
    end(c, {c->more ? Outcome::kConnectFailed : Outcome::kReset, {}, {}}, false);
  }
}

// Passes on what has come of a long answer. False if there is nothing to pass on.
bool ConnectionPool::relay(const Held& c) {
  if (!c->parser->is_header_done() || c->is_interim()) {
    return false;
  }
  auto& answer = c->parser->get();
  const auto length = c->parser->content_length();
  if (!c->streaming &&
      std::max<std::uint64_t>(answer.body().size(), length.value_or(0)) <= kMaxBufferedBodyBytes) {
    return false;
  }
  if (outcome_of(answer) != Outcome::kOk) {  // nobody needs the rest of it
    end(c, result_of(*c), false);
    return true;
  }
  if (c->streaming && answer.body().empty()) {
    return false;
  }
  c->held = true;
  if (std::exchange(c->streaming, true)) {
    events_.piece(c->attempt, std::exchange(answer.body(), {}));
  } else {
    std::optional<std::uint64_t> told;
    if (length) {
      told = *length;
    }
    events_.started(c->attempt, result_of(*c), told);
  }
  return true;
}

void ConnectionPool::resume(AttemptKey key) {
  const auto it = attempts_.find(key);
  if (it == attempts_.end() || !it->second->held) {
    return;
  }
  const Held c = it->second;
  c->held = false;
  c->heard = clock_.now();
  if (!c->done) {
    return read(c);
  }
  asio::post(io_, [this, c, key] {
    if (c->state == Connection::State::kWaiting && c->attempt == key) {
      answered(c);
    }
  });
}

// Danger: an answer whose length was said too large would hold its request until the end of its
// time, and nothing would be left for another attempt. One that comes slowly goes on coming.
void ConnectionPool::watch_answer(const Held& c) {
  const Micros quiet = c->streaming ? kStuck : kQuiet;
  timers_.at(c->heard + quiet, [this, key = c->attempt, weak = std::weak_ptr<Connection>(c)] {
    const Held c = weak.lock();
    if (!c || c->state != Connection::State::kWaiting || !(c->attempt == key)) {
      return;
    }
    if (!c->parser->got_some() && c->pending.empty()) {
      return;
    }
    if (c->held) {
      c->heard = clock_.now();  // the client is
    }
    if (clock_.now() - c->heard < (c->streaming ? kStuck : kQuiet)) {
      return watch_answer(c);
    }
    end(c, {Outcome::kReset, {}, {}}, false);
  });
}

// Danger: a kept connection that was closed without a word resets the next request, which then may
// have run and costs a keyed one its choice of servers. How long they last shows only so.
void ConnectionPool::learn_reuse(const Connection& c, bool answered) {
  if (c.rested == 0) {
    return;
  }
  const double most = kIdleShare * double(limits_.idle);
  if (!answered) {
    reuse_for_ = std::max(kReuseLeast, Micros(kReuseCut * double(std::min(reuse_for_, c.rested))));
  } else if (2 * c.rested > reuse_for_) {
    reuse_for_ = Micros(std::min(most, kReuseGrow * double(reuse_for_)));
  }
}

// All of an answer has come.
void ConnectionPool::whole(const Held& c) {
  if (c->more) {  // a server that turns away a request of which it has seen a part has not run it
    const bool full = outcome_of(c->parser->get()) == Outcome::kOverloaded;
    return end(c, {full ? Outcome::kOverloaded : Outcome::kConnectFailed, {}, {}}, false);
  }
  error_code ec;
  if (c->pending.empty() && c->socket.available(ec) > 0) {
    const std::size_t size = c->socket.read_some(asio::buffer(scratch_), ec);
    c->pending.assign(scratch_.data(), size);
  }
  if (c->is_cut_short()) {
    return end(c, {Outcome::kReset, {}, {}}, false);
  }
  c->done = true;
  if (!c->streaming || !relay(c)) {
    answered(c);
  }
}

AttemptResult ConnectionPool::result_of(Connection& c) {
  auto& answer = c.parser->get();
  AttemptResult result;
  result.outcome = outcome_of(answer);
  const auto load = answer["Endpoint-Load-Metrics"];
  result.load = parse_load({load.data(), load.size()});
  result.began = c.began;
  if (const auto percent = parse_figure(answer["Usage-Percent"], kMostPercent)) {
    result.quota_usage_percent = int(*percent);
  }
  if (result.outcome == Outcome::kOk) {
    result.billed_units = parse_figure(answer["Billed-Units"], kMostUnits);
    result.body = std::exchange(answer.body(), {});
  }
  return result;
}

void ConnectionPool::answered(const Held& c) {
  learn_reuse(*c, true);
  const bool keep = c->parser->get().keep_alive() && c->pending.empty();
  end(c, result_of(*c), keep);
}

void ConnectionPool::broke(const Held& c) {
  if (c->state != Connection::State::kWriting) {
    if (!c->parser->got_some() && c->pending.empty()) {
      learn_reuse(*c, false);
    }
    return end(c, {Outcome::kReset, {}, {}}, false);
  }
  if (!c->writing) {
    return end(c, {Outcome::kConnectFailed, {}, {}}, false);
  }
  // Danger: the last byte may have left and only the word of it still be on its way. It tells.
  c->broken = true;
  error_code ignored;
  c->socket.cancel(ignored);
}

void ConnectionPool::end(const Held& c, AttemptResult result, bool keep) {
  const AttemptKey key = c->attempt;
  attempts_.erase(key);
  const auto now = catalog_.find(c->server);
  if (keep && now && now->up && now->address == c->address) {
    c->state = Connection::State::kIdle;
    c->idle_since = clock_.now();
    c->parser.reset();
    c->pending.clear();
    pools_[c->server].push_back(c);
  } else {
    drop(*c);
  }
  events_.ended(key, std::move(result));
}

void ConnectionPool::drop(Connection& c) {
  if (c.state == Connection::State::kClosed) {
    return;
  }
  if (c.state == Connection::State::kIdle) {
    forget_idle(c);
  }
  c.state = Connection::State::kClosed;
  --open_;
  error_code ignored;
  c.socket.close(ignored);
}

void ConnectionPool::forget_idle(const Connection& c) {
  const auto pool = pools_.find(c.server);
  if (pool == pools_.end()) {
    return;
  }
  std::erase_if(pool->second, [&](const Held& h) { return h.get() == &c; });
  if (pool->second.empty()) {
    pools_.erase(pool);
  }
}

void ConnectionPool::end_later(AttemptKey key, Outcome outcome) {
  asio::post(io_, [this, key, outcome] { events_.ended(key, {outcome, {}, {}}); });
}

void ConnectionPool::sweep() {
  const Micros now = clock_.now();
  std::vector<Held> rested;
  for (const auto& [server, pool] : pools_) {
    for (const Held& c : pool) {
      if (now - c->idle_since >= reuse_for_) {
        rested.push_back(c);
      }
    }
  }
  for (const Held& c : rested) {
    drop(*c);
  }
  timers_.after(kSweep, [this] { sweep(); });
}

}  // namespace quota_gateway::net
