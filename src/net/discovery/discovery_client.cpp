#include "net/discovery/discovery_client.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <iostream>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// What a silent watch misses counts as told 6 s after it fell silent, and an empty line comes every
// 2 s.
constexpr Micros kQuiet =
    3'000'000;  // us; a heartbeat missed and some, so that a second try still fits in
constexpr Micros kFirstBackoff = 100'000, kMostBackoff = 1'000'000;
// Danger: what an agent beside us has counts as told at once, also when it comes back, and 250 ms
// later nothing new may go to who drains. So the two of these together stay under that.
constexpr Micros kAnswerWithin = 120'000;  // us from connecting to the first byte
constexpr Micros kFirstPause = 20'000, kMostPause = 60'000;
constexpr Micros kAskedWithin =
    5'000'000;  // us of the same where lists are asked for: calls wait in line
constexpr Micros kStoodStill =
    30'000;  // us late at our own timer: not the agent is late but we are
constexpr Micros kTurnedAway = 1'000'000;       // first wait after that, at the most
constexpr Micros kMostRetryAfter = 30'000'000;  // that is followed
constexpr std::size_t kMostPending = 64 << 10;  // bytes that are no HTTP yet
constexpr std::size_t kMostAround = 64 << 10;   // bytes of a list that are not its members
constexpr std::size_t kTextForMemory = 8;  // a member's text, indented, takes four times its memory
// us without any more of a list, or from its first byte to its last where it is small. Danger: what
// it holds counts as told meanwhile, as above.
constexpr Micros kListWithin = 150'000, kAskedListWithin = 1'000'000;
// Danger: one that trickles is never without more of it, and one of 22 MB can't be there in 150 ms.
// So each byte earns a list more time, that is half a MB a second, but never more than so much
// ahead.
constexpr Micros kMicrosForByte = 2, kMostAhead = 1'000'000;
constexpr int kPeekBuffer = 1152, kSmallBuffer = 16384,
              kWideBuffer = 1 << 20;  // bytes that wait for us
constexpr Micros kLogEvery = 10'000'000;

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, Timers& timers, const Clock& clock,
                                 DiscoveryOptions options, DiscoveryCallbacks callbacks)
    : io_(io),
      timers_(timers),
      clock_(clock),
      agent_(std::move(options.agent)),
      pushed_(!options.max_rejection_backoff),
      revision_(options.revision),
      callbacks_(std::move(callbacks)),
      socket_(io),
      limits_(options.limits),
      retry_policy_(options.limits, options.seed + 2),
      backoff_(pushed_ ? kFirstPause : kFirstBackoff, pushed_ ? kMostPause : kMostBackoff,
               options.seed),
      turned_away_(kTurnedAway, std::max(kTurnedAway, options.max_rejection_backoff.value_or(0)),
                   options.seed + 1) {}

void DiscoveryClient::start() {
  connect();
}

// Danger: another agent may not know our revision; what was told between would be lost. So the
// whole list.
void DiscoveryClient::move_to(tcp::endpoint agent) {
  agent_ = std::move(agent);
  whole_ = moved_ = true;
  list_.reset();  // what is left of it says nothing of the new agent
  failed_.reset();
  retry_policy_.reset();
  backoff_.reset();
  turned_away_.reset();
  lost("moves to another agent");
}

Micros DiscoveryClient::patience() const {
  return spoke_ ? kQuiet : pushed_ ? kAnswerWithin : kAskedWithin;
}

// Danger: a watch can break without a word, and an agent can accept and never say one. Danger: when
// this process stood still, what came meanwhile lies unread; only time in which the loop ran
// counts.
void DiscoveryClient::watch_quiet(int life, Micros due) {
  if (life != life_) {
    return;
  }
  const Micros now = clock_.now();
  if (now - due > kStoodStill) {
    heard_ = std::max(heard_, now - patience() + kStoodStill);
  }
  if (now - heard_ >= patience()) {
    return lost("quiet");
  }
  const Micros next = heard_ + patience();
  timers_.at(next, [this, life, next] { watch_quiet(life, next); });
}

void DiscoveryClient::connect() {
  const int life = ++life_;
  heard_ = clock_.now();
  spoke_ = false;
  watch_quiet(life, heard_);
  pending_.clear();
  list_.reset();
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(boost::none);  // a watch has no end; each list has one
  socket_ = tcp::socket(io_);
  error_code failed;
  socket_.open(agent_.protocol(), failed);
  if (failed) {
    return lost(failed.message());
  }
  const ListReadScope scope = retry_policy_.read_scope(heard_);
  narrow_ = false;
  narrow(scope == ListReadScope::kUnlimited ? 0
         : scope == ListReadScope::kProbe   ? kPeekBuffer
                                            : kSmallBuffer);
  socket_.async_connect(agent_, [this, life](error_code ec) {
    if (life != life_) {
      return;
    }
    ec ? lost(ec.message()) : request(life);
  });
}

// Danger: what an agent has sent has gone over the wire, read or not, and the system takes
// megabytes ahead.
void DiscoveryClient::narrow(int buffer) {
  if (!narrow_ && buffer == 0) {
    return;
  }
  narrow_ = buffer > 0;
  error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(narrow_ ? buffer : kWideBuffer),
                     ignored);
}

// Danger: a whole list may be what fails, while changes after the list in force would still come.
void DiscoveryClient::request(int life) {
  request_ = "GET /catalog/members?watch=1";
  if (!moved_ && (!whole_ || narrow_)) {
    request_ += "&after=" + std::to_string(revision_);
  }
  request_ += " HTTP/1.1\r\nHost: " + agent_.address().to_string() + "\r\n\r\n";
  asio::async_write(socket_, asio::buffer(request_), [this, life](error_code ec, std::size_t) {
    if (life == life_ && ec) {
      lost(ec.message());
    }
  });
  read(life);
}

void DiscoveryClient::read(int life) {
  const std::size_t most = narrow_ ? std::min(limits_.probe_bytes, chunk_.size()) : chunk_.size();
  socket_.async_read_some(asio::buffer(chunk_, most),
                          [this, life](error_code ec, std::size_t size) {
                            if (life != life_) {
                              return;
                            }
                            if (ec) {
                              return lost(ec.message());
                            }
                            heard_ = clock_.now();
                            spoke_ = true;
                            try {
                              took(size);
                            } catch (const EndpointListTooLarge& e) {
                              whole_ = true;
                              return lost(e.what(), ListFailure::kTooLarge);
                            } catch (const std::exception& e) {
                              // Danger: what was not understood is a gap; only the whole list
                              // closes it.
                              whole_ = true;
                              return lost(e.what());
                            }
                            if (life == life_) {
                              read(life);
                            }
                          });
}

void DiscoveryClient::took(std::size_t size) {
  pending_.append(chunk_.data(), size);
  while (!pending_.empty()) {
    error_code ec;
    const std::size_t used = parser_->put(asio::buffer(pending_), ec);
    pending_.erase(0, used);
    if (ec && ec != http::error::need_more) {
      throw std::runtime_error(ec.message());
    }
    if (used == 0) {
      break;
    }
  }
  if (!parser_->is_header_done()) {
    return;
  }
  if (parser_->get().result() != http::status::ok) {
    const auto after = parser_->get()[http::field::retry_after];
    double seconds = 0;
    std::from_chars(after.data(), after.data() + after.size(), seconds);
    // Behind what it told: many are told the same. Where lists are pushed there is no line to keep
    // short.
    if (!pushed_) {
      refused_ =
          Micros(std::clamp(seconds * 1e6, 0.0, double(kMostRetryAfter))) + turned_away_.next();
    }
    throw std::runtime_error("status " + std::to_string(parser_->get().result_int()));
  }
  callbacks_.on_response();
  text(std::exchange(parser_->get().body(), {}));
  if (pending_.size() > kMostPending) {
    throw std::runtime_error("no HTTP");
  }
  if (list_) {
    came(size);
  }
  if (parser_->is_done()) {
    lost("the watch ended");
  }
}

// A list is over where its brackets are, not where its line is: it may come indented. An empty line
// between two is a heartbeat.
void DiscoveryClient::text(std::string_view piece) {
  while (!piece.empty()) {
    if (!list_) {
      if (piece[0] == '\n') {
        heard();
      }
      if (std::string_view(" \t\r\n").find(piece[0]) != std::string_view::npos) {
        piece.remove_prefix(1);
        continue;
      }
      if (piece[0] != '{') {
        throw std::runtime_error("no list");
      }
      begin_list();
    }
    piece.remove_prefix(list_->parse_chunk(piece));
    if (list_->is_done()) {
      end_list();
    } else {
      judge();
    }
  }
}

void DiscoveryClient::begin_list() {
  list_.emplace(
      std::vector<std::string>{"members"},
      EndpointListLimits{limits_.memory_bytes, kTextForMemory * limits_.memory_bytes, kMostAround});
  ++begun_;
  came_ = 0;
  scope_ = retry_policy_.read_scope(clock_.now());
  judged_ = false;
}

// Danger: a list that fails again and again is left as soon as it can be told from one that would
// not.
void DiscoveryClient::judge() {
  if (scope_ == ListReadScope::kUnlimited) {
    return;
  }
  if (const auto head = judged_ ? std::nullopt : list_->header()) {
    judged_ = true;
    // What does not say so before its members may be whole.
    const bool whole = head->complete.value_or(true);
    if (!whole && (!failed_ || failed_->complete.value_or(true))) {
      scope_ = ListReadScope::kUnlimited;
      return narrow(0);
    }
    if (whole && scope_ == ListReadScope::kProbe && failed_ &&
        failed_->revision == head->revision) {
      throw std::runtime_error("the list that failed");
    }
  }
  if (list_->bytes_consumed() >= retry_policy_.max_bytes(scope_)) {
    throw std::runtime_error("a whole list, so soon after one that failed");
  }
}

void DiscoveryClient::end_list() {
  heard();
  EndpointList list = list_->take_list(list_->surrounding_json());
  // Danger: a discovery that has lost its own list would take every server from all gateways at
  // once.
  if (list.complete && list.endpoints.empty()) {
    throw std::runtime_error("an empty list");
  }
  list_.reset();
  narrow(0);
  revision_ = list.revision;
  whole_ = false;
  if (list.complete) {
    moved_ = false;
  }
  if (list.complete || (failed_ && !failed_->complete.value_or(true))) {
    failed_.reset();
  }
  if (list.complete) {
    retry_policy_.reset();
  } else {
    retry_policy_.on_partial_list();
  }
  callbacks_.on_update(std::move(list));
}

Micros DiscoveryClient::list_within() const {
  return pushed_ ? kListWithin : kAskedListWithin;
}

// Some of a list that is not over yet.
void DiscoveryClient::came(std::size_t size) {
  const Micros now = clock_.now();
  const bool first = came_ == 0;
  came_ = now;
  pace_ = std::min((first ? now + list_within() : pace_) + Micros(size) * kMicrosForByte,
                   now + std::max(kMostAhead, list_within()));
  if (first) {
    watch_list(life_, begun_, now);
  }
}

// Danger: as with a quiet watch, only time in which the loop ran counts.
void DiscoveryClient::watch_list(int life, int begun, Micros due) {
  if (life != life_ || begun != begun_ || !list_) {
    return;
  }
  const Micros now = clock_.now();
  if (now - due > kStoodStill) {
    came_ = std::max(came_, now - list_within() + kStoodStill);
    pace_ = std::max(pace_, now + kStoodStill);
  }
  const Micros next = std::min(came_ + list_within(), pace_);
  if (now >= next) {
    whole_ = true;
    return lost("a list does not end", ListFailure::kUnfinished);
  }
  timers_.at(next, [this, life, begun, next] { watch_list(life, begun, next); });
}

void DiscoveryClient::heard() {
  backoff_.reset();
  turned_away_.reset();
  if (lost_at_ > 0) {
    std::cerr << "discovery: back after " << (clock_.now() - lost_at_) / 1000 << " ms\n";
  }
  lost_at_ = 0;
}

// Returns how long to wait before the next is asked for.
Micros DiscoveryClient::give_up_list(const std::string& why, ListFailure cause) {
  const Micros now = clock_.now();
  const std::size_t bytes = list_->bytes_consumed();
  const std::size_t members = list_->endpoint_count();
  if (scope_ != ListReadScope::kProbe) {
    try {
      failed_ = list_->header().value_or(EndpointListParser::Header{});
    } catch (const std::exception&) {
      failed_.emplace();
    }
  }
  list_.reset();
  retry_policy_.on_failure(scope_, bytes, cause, now);
  const Micros wait =
      retry_policy_.is_restricted() ? retry_policy_.next_wait(now) : backoff_.next();
  if (scope_ != ListReadScope::kProbe && retry_policy_.is_restricted()) {
    logged_ = now;
    std::cerr << "discovery: a list is given up after " << bytes << " bytes and " << members
              << " members: " << why << "; the list of revision " << revision_
              << " stays in force, changes are asked for in " << wait / 1000 << " ms\n";
  }
  return wait;
}

void DiscoveryClient::lost(const std::string& why, ListFailure cause) {
  error_code ignored;
  socket_.close(ignored);
  const int life = ++life_;
  const Micros now = clock_.now();
  const Micros wait = refused_ > 0 ? std::exchange(refused_, 0)
                      : list_      ? give_up_list(why, cause)
                                   : backoff_.next();
  if (now - logged_ > kLogEvery) {
    logged_ = now;
    std::cerr << "discovery: " << why << "; watching again from " << revision_ << '\n';
  }
  if (lost_at_ == 0) {
    lost_at_ = now;
  }
  timers_.after(wait, [this, life] {
    if (life == life_) {
      connect();
    }
  });
}

}  // namespace quota_gateway::net
