#include "net/client/client_listener.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <cerrno>
#include <cstdio>
#include <iostream>
#include <optional>

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using RequestParser = http::request_parser<IncrementalBody>;

constexpr std::uint32_t kMostHeader = 8 << 10;
constexpr std::size_t kMostAhead = 4 << 10;  // read while a request is held
// Danger: that its client has left lies behind what it sent ahead. So while it waits more is read,
// to a bound, and one for all together.
constexpr std::size_t kMostAheadHeld = 512 << 10, kMostAheadAll = 4 << 20;
constexpr Micros kHeadWithin =
    2'600'000;  // us from connecting, or a head's first byte, to the end of the head
constexpr Micros kBodyQuiet =
    2'000'000;  // us without a byte of a body: its client is stuck, not slow
constexpr Micros kSpeaksWithin =
    1'000'000;  // us from connecting; who has said nothing by then asks nothing
constexpr Micros kIdle =
    4'000'000;  // us between requests; some clients never come back, none says so
constexpr Micros kTakeWithin = 10'000'000;  // us to take an answer, or one piece of it
constexpr int kSendBuffer =
    256 << 10;  // bytes, of a long answer. Danger: with megabytes there, slow clients
                // seem stuck until much of it has gone, and all of it is memory
constexpr Micros kLinger = 1'000'000;  // us for a client to read an answer before the close, or to
                                       // go on sending what is thrown away
constexpr Micros kLingerMost = 5'000'000;
constexpr Micros kDiscardPause = 10'000;       // us between two reads of what is thrown away
constexpr std::size_t kDiscardMost = 4 << 20;  // bytes, of each of them
constexpr std::size_t kIdleShare =
    3;  // one in so many of the most connections may rest after an answer
constexpr Micros kSweep = 250'000;
constexpr Micros kLookLeaving = 50'000;

const char* reason(int status) {
  const auto text = http::obsolete_reason(http::status(status));
  return text.data();  // string literals of the library
}

}  // namespace

// One client connection. It reads ahead while a request is held, to notice that the client has
// gone.
class ClientListener::ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  enum class State { kBetween, kReading, kHeld, kWriting, kClosing, kClosed };
  ClientSession(ClientListener& front, std::uint64_t client, tcp::socket socket)
      : front_(front),
        client_(client),
        socket_(std::move(socket)),
        born_(front.clock_.now()),
        since_(born_) {}

  void read() {
    if (reading_ || state_ == State::kClosed) {
      return;
    }
    if (is_ahead()) {
      return watch_leaving();
    }
    if (state_ == State::kClosing) {
      return discard();
    }
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
      reading_ = false;
      if (state_ == State::kClosed) {
        return;
      }
      const std::size_t most =
          wants_body() || pending_.size() > kMostAhead ? front_.scratch_.size() : kMostAhead;
      std::size_t size = 0;
      if (!ec) {
        size = socket_.read_some(asio::buffer(front_.scratch_.data(), most), ec);
      }
      if (ec == asio::error::would_block) {
        return read();
      }
      if (ec) {
        return close();
      }
      said_ = true;
      if (state_ != State::kClosing) {
        pending_.append(front_.scratch_.data(), size);
      }
      if (state_ == State::kBetween || state_ == State::kReading) {
        parse();
      }
      if (pulled_) {
        pass_body();
      }
      read();
    });
  }

  // What is left of the request's body is not waited for.
  void answer(const ClientResponse& a) {
    if (state_ != State::kHeld) {
      return;
    }
    request_ = 0;
    const bool cut_off = std::exchange(uploading_, false);
    pulled_ = false;
    if (cut_off) {
      parser_.reset();
    }
    write(a, cut_off || closes());
  }

  void begin(std::optional<std::uint64_t> length, const std::string& piece) {
    if (state_ != State::kHeld) {
      return;
    }
    streaming_ = true;
    chunked_ = !length && http11_;
    last_ = closes() || (!length && !http11_);
    error_code ignored;
    socket_.set_option(asio::socket_base::send_buffer_size(kSendBuffer), ignored);
    out_ = "HTTP/1.1 200 OK";
    if (length) {
      out_ += "\r\nContent-Length: " + std::to_string(*length);
    }
    if (chunked_) {
      out_ += "\r\nTransfer-Encoding: chunked";
    }
    if (last_) {
      out_ += "\r\nConnection: close";
    }
    out_ += "\r\n\r\n";
    if (!piece.empty()) {
      out_ += chunked_ ? encode_chunk(piece) : piece;
    }
    stream();
  }
  void pass(std::string piece) {
    if (!streaming_ || state_ != State::kWriting) {
      return;
    }
    out_ = chunked_ ? encode_chunk(piece) : std::move(piece);
    stream();
  }
  void finish() {
    if (!streaming_ || state_ != State::kWriting) {
      return;
    }
    streaming_ = false;
    request_ = 0;
    out_ = chunked_ ? std::string(kLastChunk) : std::string();
    send([this] { wrote(last_); });
  }
  // Danger: a close with a FIN would make an answer without a length look whole.
  void cut() {
    if (!streaming_) {
      return;
    }
    streaming_ = false;
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  void pull() {
    if (state_ != State::kHeld || !uploading_) {
      return;
    }
    pulled_ = true;
    since_ = front_.clock_.now();
    asio::post(socket_.get_executor(), [this, self = shared_from_this()] {
      if (pulled_) {
        pass_body();
      }
      read();
    });
  }

  // Unless a request is there already, read or not.
  void close_between() {
    error_code ec;
    if (state_ == State::kBetween && served_ && socket_.available(ec) == 0) {
      close();
    }
  }
  void close() {
    if (state_ == State::kClosed) {
      return;
    }
    const State was = std::exchange(state_, State::kClosed);
    error_code ignored;
    socket_.close(ignored);
    if (was == State::kHeld || streaming_) {
      front_.callbacks_.on_client_disconnected(request_);
    }
    front_.erase(client_);
  }
  State state() const { return state_; }
  std::size_t ahead() const { return pending_.size(); }
  bool served() const { return served_; }
  // Something will be lost if it ends now. Danger: also an answer that has left, while its client
  // has not closed: what comes from there would be unread and reset it.
  bool owes(Micros now) const {
    error_code ec;
    if (state_ != State::kBetween) {
      return state_ != State::kClosed;
    }
    return (!served_ && now - born_ < kSpeaksWithin) || socket_.available(ec) > 0;
  }
  Micros since() const { return since_; }

  // Where many want in, who goes first: 0 not at all; then those that had their answer, those that
  // never said a word, those between requests, and those that are still at it.
  int expendable() const {
    error_code ec;
    switch (state_) {
      case State::kClosing:
        return 4;
      case State::kBetween:
        return socket_.available(ec) > 0 ? 0 : said_ ? 2 : 3;
      case State::kReading:  // its last byte may have come
        return socket_.available(ec) > 0 ? 0 : 1;
      default:
        return 0;
    }
  }

  // Ends what has had its time.
  void look(Micros now) {
    const Micros stood = now - since_;
    const bool first = !served_ && now - born_ > kHeadWithin;
    if (state_ == State::kReading &&
        (request_in_ ? now - heard_ > kBodyQuiet : first || stood > kHeadWithin)) {
      return refuse(408, "too slow");
    }
    if (pulled_ && now - std::max(heard_, since_) > kBodyQuiet) {
      return close();
    }
    const bool over = state_ == State::kBetween   ? first || stood > kIdle
                      : state_ == State::kWriting ? !starved_ && stood > kTakeWithin
                      : state_ == State::kClosing
                          ? now - std::max(since_, heard_) > kLinger || stood > kLingerMost
                          : false;
    error_code ec;
    if (over && (state_ != State::kBetween || socket_.available(ec) == 0)) {
      close();
    }
  }

 private:
  void enter(State state) {
    state_ = state;
    since_ = front_.clock_.now();
  }

  bool closes() const { return front_.draining_ || front_.leaving_ || !keep_alive_; }
  bool wants_body() const { return pulled_ || (state_ == State::kReading && request_in_); }

  void parse() {
    heard_ = front_.clock_.now();
    while (!pending_.empty() && (state_ == State::kBetween || state_ == State::kReading)) {
      if (!parser_) {
        parser_.emplace();
        parser_->header_limit(kMostHeader);
        parser_->body_limit(kMaxBodyBytes);
        enter(State::kReading);
      }
      error_code ec;
      const std::size_t used = parser_->put(asio::buffer(pending_), ec);
      pending_.erase(0, used);
      const bool more = ec == http::error::need_more;
      if (ec && !more) {
        const bool large = ec == http::error::body_limit || ec == http::error::header_limit;
        return refuse(large ? 413 : 400, ec.message());
      }
      if (parser_->is_header_done() && !parser_->eager() && !head()) {
        return;
      }
      if (parser_->is_done() ||
          (request_in_ && parser_->get().body().size() > kMaxBufferedBodyBytes)) {
        take();
      } else if (more || used == 0) {
        if (pending_.size() > kMostHeader) {
          refuse(413, "header too large");
        }
        return;
      }
    }
  }

  // The head comes by itself and is looked at before the rest, which may be long, or never come.
  bool head() {
    parser_->eager(true);
    const auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    http11_ = message.version() == 11;
    try {
      check_framing(message, http11_);
      if (message.method() == http::verb::get && message.target() == "/_health") {
        if (parser_->content_length().value_or(0) > 0) {
          throw HttpError("a body where none belongs");
        }
        return true;
      }
      request_in_ = parse_request(message, front_.settings_);
    } catch (const HttpError& e) {
      refuse(int(e.status()), e.what());
      return false;
    }
    // A client may wait to be told that its body is welcome.
    error_code ignored;
    if (!parser_->is_done() &&
        boost::beast::iequals(message[http::field::expect], "100-continue")) {
      socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
    }
    return true;
  }

  // A request has come, whole or, if it is long, with the beginning of its body.
  void take() {
    served_ = true;
    if (!request_in_) {
      parser_.reset();
      ClientResponse health;
      const bool starting = !front_.callbacks_.is_serving();
      health.status = front_.draining_ || starting ? 503 : 200;
      health.body = front_.draining_ ? "draining\n" : starting ? "starting\n" : "ok\n";
      return write(health, closes());
    }
    ClientRequest request = std::move(*request_in_);
    request_in_.reset();
    ForwardedRequest& out = request.forwarded;
    out.body = std::exchange(parser_->get().body(), {});
    if (request.idempotent && !out.body.empty()) {
      return refuse(400, "a body where none belongs");
    }
    out.body_complete = parser_->is_done();
    if (const auto length = parser_->content_length()) {
      out.content_length = *length;
    }
    uploading_ = !out.body_complete;
    if (!uploading_) {
      parser_.reset();
    }
    enter(State::kHeld);
    const auto id = front_.callbacks_.on_request(client_, std::move(request));
    if (!id) {
      return refuse(409, "a request of that id is open");
    }
    request_ = *id;
  }

  // The next piece of a long body, once there is one.
  void pass_body() {
    heard_ = front_.clock_.now();
    while (!pending_.empty() && !parser_->is_done()) {
      error_code ec;
      const std::size_t used = parser_->put(asio::buffer(pending_), ec);
      pending_.erase(0, used);
      if (ec && ec != http::error::need_more) {
        return close();
      }
      if (used == 0) {
        break;
      }
    }
    const bool last = parser_->is_done();
    if (!last && parser_->get().body().empty()) {
      return;
    }
    const std::string piece = std::exchange(parser_->get().body(), {});
    pulled_ = false;
    uploading_ = !last;
    if (last) {
      parser_.reset();
    }
    front_.callbacks_.on_body_piece(request_, piece, last);
  }

  void refuse(int status, const std::string& why) {
    parser_.reset();
    request_in_.reset();
    uploading_ = pulled_ = false;
    ClientResponse a;
    a.status = status;
    a.body = why + "\n";
    write(a, true);
  }

  void write(const ClientResponse& a, bool last) {
    enter(State::kWriting);
    out_ = "HTTP/1.1 " + std::to_string(a.status) + " " + reason(a.status) +
           "\r\nContent-Length: " + std::to_string(a.body.size());
    if (a.retry_after) {
      char text[48];
      std::snprintf(text, sizeof text, "\r\nRetry-After: %.3f",
                    double(std::max<Micros>(*a.retry_after, 1000)) / 1e6);
      out_ += text;
    }
    if (last) {
      out_ += "\r\nConnection: close";
    }
    out_.append("\r\n\r\n").append(a.body);
    send([this, last] { wrote(last); });
  }

  // `left` follows once `out_` has.
  template <typename Left>
  void send(Left left) {
    starved_ = false;
    asio::async_write(socket_, asio::buffer(out_),
                      [this, left, self = shared_from_this()](error_code ec, std::size_t) {
                        if (state_ != State::kWriting) {
                          return;
                        }
                        if (ec) {
                          return close();
                        }
                        left();
                      });
  }
  void stream() {
    enter(State::kWriting);
    send([this] {
      if (out_.capacity() > kMostAhead) {
        out_ = {};
      }
      starved_ = true;
      front_.callbacks_.on_piece_sent(request_);
    });
  }

  void wrote(bool last) {
    if (out_.capacity() > kMostAhead) {
      out_ = {};
    }
    if (last) {
      // Danger: a close with input unread resets the connection and may take the answer with it.
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      pending_ = {};
      enter(State::kClosing);
    } else {
      enter(State::kBetween);
      parse();
      if (pending_.empty() && pending_.capacity() > kMostAhead) {
        pending_ = {};
      }
      if (front_.draining_) {
        close_between();
      }
      front_.trim_idle();
    }
    read();
  }

  // Danger: a client that sends 60 MB before it reads would never see its answer, and reading all
  // of it as it comes would cost the others their time. So it is thrown away uncopied, in turns.
  void discard() {
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code ec) {
      reading_ = false;
      if (state_ == State::kClosed) {
        return;
      }
      if (ec || !throw_away()) {
        return close();
      }
      reading_ = true;
      front_.timers_.after(kDiscardPause, [this, self] {
        reading_ = false;
        if (state_ == State::kClosing) {
          discard();
        }
      });
    });
  }

  // Danger: of a client that has sent much ahead no more is read, and its leaving lies behind what
  // is not. Its request must not go out once it has gone.
  void watch_leaving() {
    if (state_ != State::kHeld || std::exchange(watching_, true)) {
      return;
    }
    front_.timers_.after(kLookLeaving, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      self->watching_ = false;
      pollfd end{self->socket_.native_handle(), POLLRDHUP, 0};
      if (self->state_ == State::kHeld && ::poll(&end, 1, 0) > 0) {
        return self->close();
      }
      self->read();
    });
  }
  bool is_ahead() const {
    if (state_ == State::kReading || pending_.size() <= kMostAhead) {
      return false;
    }
    return state_ != State::kHeld || uploading_ || pending_.size() > kMostAheadHeld ||
           front_.ahead() > kMostAheadAll;
  }

  // False once the client has ended its side.
  bool throw_away() {
    for (std::size_t thrown = 0; thrown < kDiscardMost;) {
      const auto got = ::recv(socket_.native_handle(), front_.scratch_.data(),
                              front_.scratch_.size(), MSG_TRUNC | MSG_DONTWAIT);
      if (got <= 0) {
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      }
      heard_ = front_.clock_.now();
      thrown += std::size_t(got);
    }
    return true;
  }

  ClientListener& front_;
  const std::uint64_t client_;
  tcp::socket socket_;
  State state_ = State::kBetween;
  const Micros born_;
  Micros since_;
  std::uint64_t request_ = 0;
  Micros heard_ = 0;  // when some of a request came last, or of what is thrown away
  std::string pending_, out_;
  std::optional<RequestParser> parser_;
  std::optional<ClientRequest> request_in_;  // whose head has come
  bool reading_ = false, keep_alive_ = true, served_ = false, said_ = false, http11_ = true;
  bool uploading_ = false;               // more of the request's body is to come
  bool pulled_ = false;                  // and is asked for
  bool streaming_ = false;               // the answer is passed in pieces
  bool chunked_ = false, last_ = false;  // it goes in chunks; and ends the connection
  bool starved_ = false;                 // the next piece has not come yet
  bool watching_ = false;                // for the client's end, unread
};

ClientListener::ClientListener(asio::io_context& io, Timers& timers, const Clock& clock,
                               const Settings& settings, std::size_t most_clients,
                               ClientListenerCallbacks callbacks)
    : io_(io),
      timers_(timers),
      clock_(clock),
      settings_(settings),
      most_clients_(most_clients),
      callbacks_(std::move(callbacks)),
      acceptor_(io) {
  sweep();
}
ClientListener::~ClientListener() = default;

void ClientListener::listen(const tcp::endpoint& at) {
  // Danger: a process that could not be asked for its socket may still listen there. Then both do,
  // each with a queue of its own.
  acceptor_.open(at.protocol());
  error_code ignored;
  acceptor_.set_option(tcp::acceptor::reuse_address(true), ignored);
  const int on = 1;
  ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  acceptor_.bind(at);
  acceptor_.listen();
}

void ClientListener::adopt(const tcp::endpoint& at, int listening) {
  acceptor_.assign(at.protocol(), listening);
}

void ClientListener::start_accepting() {
  open_ = true;
  leaving_ = false;
  accept();
}

// Danger: the socket is not closed, for what waits in its queue is everybody's who holds it; and
// were it closed here, this loop would go on hearing of it as long as the other process has it.
void ClientListener::hand_over_new_clients() {
  open_ = false;
  leaving_ = true;
  error_code ignored;
  acceptor_.cancel(ignored);
}

void ClientListener::accept() {
  if (accepting_ || !open_) {
    return;
  }
  accepting_ = true;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    accepting_ = false;
    if (ec == asio::error::operation_aborted) {
      return accept();  // it left, and may be back
    }
    if (ec) {  // most likely out of descriptors; sessions that end make room
      timers_.after(20'000, [this] { accept(); });
      return;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto session = std::make_shared<ClientSession>(*this, ++last_, std::move(socket));
    sessions_.emplace(last_, session);
    session->read();
    if (sessions_.size() <= most_clients_ || evict()) {
      accept();  // else once one has ended
    }
  });
}

// Makes room for a new client, so that silent crowds don't keep the others out. False if all are
// needed.
bool ClientListener::evict() {
  std::shared_ptr<ClientSession> least;
  int most = 0;
  for (const auto& [client, s] : sessions_) {
    if (client == last_) {
      continue;
    }
    const int expendable = s->expendable();
    if (expendable < std::max(most, 1)) {
      continue;
    }
    if (expendable == most && s->since() >= least->since()) {
      continue;
    }
    most = expendable;
    least = s;
  }
  if (least) {
    least->close();
  }
  return least != nullptr;
}

// Danger: those before us may hold only so many connections to a gateway, a third of its
// descriptors here, and where clients ask once and stay, all of these soon rest: requests then find
// none, wait and are lost, while the gateway has next to nothing to do. So of those that rest,
// those that rested longest go beyond a number. Harm: more clients than that who do come back in
// turn connect anew for each request.
void ClientListener::trim_idle() {
  std::shared_ptr<ClientSession> longest;
  std::size_t idle = 0;
  for (const auto& [client, s] : sessions_) {
    if (s->state() != ClientSession::State::kBetween || !s->served()) {
      continue;
    }
    ++idle;
    if (!longest || s->since() < longest->since()) {
      longest = s;
    }
  }
  if (idle > most_clients_ / kIdleShare) {
    longest->close_between();
  }
}

std::size_t ClientListener::ahead() const {
  std::size_t all = 0;
  for (const auto& [client, s] : sessions_) {
    all += s->ahead();
  }
  return all;
}

void ClientListener::erase(std::uint64_t client) {
  sessions_.erase(client);
  accept();
}

std::shared_ptr<ClientListener::ClientSession> ClientListener::find(std::uint64_t client) const {
  const auto it = sessions_.find(client);
  return it == sessions_.end() ? nullptr : it->second;
}

void ClientListener::respond(std::uint64_t client, ClientResponse response) {
  if (const auto s = find(client)) {
    s->answer(response);
  }
}
void ClientListener::begin_response(std::uint64_t client, std::optional<std::uint64_t> length,
                                    std::string piece) {
  if (const auto s = find(client)) {
    s->begin(length, piece);
  }
}
void ClientListener::send_body_piece(std::uint64_t client, std::string piece) {
  if (const auto s = find(client)) {
    s->pass(std::move(piece));
  }
}
void ClientListener::finish_response(std::uint64_t client) {
  if (const auto s = find(client)) {
    s->finish();
  }
}
void ClientListener::abort_response(std::uint64_t client) {
  if (const auto s = find(client)) {
    s->cut();
  }
}
void ClientListener::request_body_piece(std::uint64_t client) {
  if (const auto s = find(client)) {
    s->pull();
  }
}

void ClientListener::drain() {
  draining_ = true;
  const auto sessions = sessions_;
  for (const auto& [client, s] : sessions) {
    s->close_between();
  }
}

bool ClientListener::is_idle() {
  pollfd queue{acceptor_.native_handle(), POLLIN, 0};
  if (!leaving_ && ::poll(&queue, 1, 0) > 0) {
    return false;
  }
  const Micros now = clock_.now();
  return std::none_of(sessions_.begin(), sessions_.end(),
                      [now](const auto& entry) { return entry.second->owes(now); });
}

void ClientListener::sweep() {
  const Micros now = clock_.now();
  const auto sessions = sessions_;
  for (const auto& [client, s] : sessions) {
    s->look(now);
  }
  timers_.after(kSweep, [this] { sweep(); });
}

}  // namespace quota_gateway::net
