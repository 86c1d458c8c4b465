#include "fake_discovery.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

#include "clocks.hpp"

namespace quota_gateway::scale {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxRequestHeadBytes = 16 << 10;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr Micros kMicrosPerSecond = 1'000'000;
// A stored complete list is encoded again once more than one part in ten of its servers has
// changed.
constexpr std::size_t kStaleListDivisor = 10;
// Watchers are checked this many times in each heartbeat interval. The time between two heartbeats
// then differs from the interval by at most half of the time between two checks.
constexpr int kHeartbeatChecksPerInterval = 10;

// Returns the number under `key` in the query of a request's target.
std::optional<std::int64_t> query_number(std::string_view target, std::string_view key) {
  std::size_t separator = target.find('?');
  while (separator != std::string_view::npos) {
    target.remove_prefix(separator + 1);
    if (target.substr(0, key.size()) == key && target.size() > key.size() &&
        target[key.size()] == '=') {
      const std::string_view text = target.substr(key.size() + 1);
      std::int64_t value = 0;
      const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
      return parsed.ec == std::errc() ? std::optional(value) : std::nullopt;
    }
    separator = target.find('&');
  }
  return std::nullopt;
}

// Returns the target of a GET request, or nothing if the head is not that of a GET request.
std::optional<std::string> request_target(std::string_view head) {
  constexpr std::string_view kMethod = "GET ";
  const std::size_t end = head.find(" HTTP/1.1");
  if (head.substr(0, kMethod.size()) != kMethod || end == std::string_view::npos ||
      end < kMethod.size()) {
    return std::nullopt;
  }
  return std::string(head.substr(kMethod.size(), end - kMethod.size()));
}

}  // namespace

// A gateway's connection to the agent, which a request with watch=1 turns into a watch.
class FakeDiscovery::Connection : public FakeConnection {
 public:
  Connection(tcp::socket socket, FakeDiscovery& discovery)
      : FakeConnection(std::move(socket), discovery.connections_, discovery.counts_.traffic),
        discovery_(discovery) {}

  void begin_watch() { is_watch_ = true; }
  bool is_watch() const { return is_watch_; }
  // For a watch, the revision up to which changes have been sent.
  std::int64_t sent_revision() const { return sent_revision_; }
  void set_sent_revision(std::int64_t revision) { sent_revision_ = revision; }
  // Stores a request that arrived while the agent was silent.
  void defer(const std::string& target) { deferred_targets_.push_back(target); }
  std::vector<std::string> take_deferred() { return std::exchange(deferred_targets_, {}); }

 protected:
  void on_received(std::string& received) override {
    while (is_open() && !is_watch_) {
      const std::size_t head_end = received.find(kHeadEnd);
      if (head_end == std::string::npos) {
        break;
      }
      const auto target = request_target(std::string_view(received).substr(0, head_end));
      received.erase(0, head_end + kHeadEnd.size());
      if (!target) {
        reset();
        return;
      }
      discovery_.on_request(std::static_pointer_cast<Connection>(shared_from_this()), *target);
    }
    if (is_watch_) {
      // A watch lasts until its connection ends; further requests on it are ignored.
      received.clear();
    }
    if (received.size() > kMaxRequestHeadBytes) {
      reset();
    }
  }
  void on_closed() override {
    if (is_watch_) {
      --discovery_.counts_.watchers;
    }
  }

 private:
  FakeDiscovery& discovery_;
  bool is_watch_ = false;
  std::int64_t sent_revision_ = 0;
  std::vector<std::string> deferred_targets_;
};

FakeDiscovery::FakeDiscovery(asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      address_(asio::ip::make_address(options_.host), options_.port),
      acceptor_(io),
      heartbeat_timer_(io),
      servers_(options_.servers),
      history_(options_.revision, options_.max_history_entries),
      revision_(options_.revision),
      heartbeat_(std::make_shared<const std::string>(encode_chunked("\n"))) {
  index_by_id_.reserve(servers_.size());
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    index_by_id_[servers_[i].id] = ChangeHistory::ServerIndex(i);
  }
  start();
  wait_for_heartbeats();
}

FakeDiscovery::~FakeDiscovery() {
  reset_all(connections_);
  error_code ignored;
  acceptor_.close(ignored);
}

void FakeDiscovery::start() {
  if (is_running_) {
    return;
  }
  is_running_ = true;
  acceptor_ = listen_on_loopback(io_, address_);
  address_ = acceptor_.local_endpoint();
  accept_all(acceptor_, [this](tcp::socket socket) {
    ++counts_.connections;
    std::make_shared<Connection>(std::move(socket), *this)->start();
  });
}

void FakeDiscovery::stop() {
  is_running_ = false;
  error_code ignored;
  acceptor_.close(ignored);
  reset_all(connections_);
}

std::int64_t FakeDiscovery::publish(const std::vector<ListedServer>& entries) {
  ++revision_;
  std::vector<ChangeHistory::ServerIndex> changed;
  for (const ListedServer& entry : entries) {
    const auto next_index = ChangeHistory::ServerIndex(servers_.size());
    const auto [it, is_new] = index_by_id_.try_emplace(entry.id, next_index);
    if (is_new) {
      servers_.push_back(entry);
    } else {
      servers_[it->second] = entry;
    }
    changed.push_back(it->second);
  }
  history_.record(revision_, std::move(changed));
  partial_lists_.clear();
  if (is_silent_) {
    return revision_;
  }
  for (const auto& watcher : watchers()) {
    if (watcher->unsent_bytes() > options_.max_unsent_bytes) {
      ++counts_.slow_watchers_dropped;
      watcher->reset();
      continue;
    }
    ++counts_.updates;
    synchronize(*watcher, revision_ - 1);
  }
  return revision_;
}

void FakeDiscovery::set_silent(bool silent) {
  const bool resumes = is_silent_ && !silent;
  is_silent_ = silent;
  if (!resumes) {
    return;
  }
  for (const auto& watcher : watchers()) {
    if (watcher->sent_revision() < revision_) {
      synchronize(*watcher, watcher->sent_revision());
    }
  }
  // A copy, because closing a connection removes it from connections_.
  const FakeConnections connections = connections_;
  for (const auto& connection : connections) {
    const auto requester = std::static_pointer_cast<Connection>(connection);
    for (const std::string& target : requester->take_deferred()) {
      on_request(requester, target);
    }
  }
}

void FakeDiscovery::reset_watchers() {
  for (const auto& watcher : watchers()) {
    watcher->reset();
  }
}

void FakeDiscovery::on_request(const std::shared_ptr<Connection>& connection,
                               const std::string& target) {
  if (is_silent_) {
    connection->defer(target);
    return;
  }
  ++counts_.requests;
  ++counts_.requests_by_second[steady_now() / kMicrosPerSecond];
  if (rejection_) {
    ++counts_.rejected;
    send_rejection(*connection);
    return;
  }
  if (target.substr(0, target.find('?')) != "/catalog/members") {
    connection->send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  if (query_number(target, "watch") == 1) {
    begin_watch(*connection, target);
    return;
  }
  send_list_response(*connection);
}

void FakeDiscovery::begin_watch(Connection& watcher, const std::string& target) {
  watcher.begin_watch();
  ++counts_.watchers;
  watcher.send(
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto known_revision = query_number(target, "after");
  if (known_revision && history_.covers(*known_revision) && *known_revision < revision_) {
    ++counts_.partial_lists;
  }
  synchronize(watcher, known_revision);
}

void FakeDiscovery::send_rejection(Connection& connection) const {
  std::string response = "HTTP/1.1 " + std::to_string(rejection_->status) + " Turned Away\r\n";
  if (rejection_->retry_after_s) {
    response += "Retry-After: " + std::to_string(*rejection_->retry_after_s) + "\r\n";
  }
  connection.send(response + "Content-Length: 0\r\n\r\n");
}

void FakeDiscovery::send_list_response(Connection& connection) {
  const std::string body = encode_full_list();
  ++counts_.full_lists;
  connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

void FakeDiscovery::synchronize(Connection& watcher, std::optional<std::int64_t> known_revision) {
  const bool has_usable_revision =
      known_revision && history_.covers(*known_revision) && *known_revision <= revision_;
  if (!has_usable_revision) {
    send_full_list(watcher);
  } else if (*known_revision < revision_) {
    watcher.send(partial_list(*known_revision));
  }
  watcher.set_sent_revision(revision_);
}

// Sends a stored encoded list if few servers have changed since it was encoded, directly followed
// by their changes.
void FakeDiscovery::send_full_list(Connection& watcher) {
  const bool is_usable =
      full_list_ &&
      history_.has_at_most_since(full_list_->revision, servers_.size() / kStaleListDivisor);
  if (!is_usable) {
    full_list_ = EncodedList{
        std::make_shared<const std::string>(encode_chunked(encode_full_list())), revision_};
  }
  ++counts_.full_lists;
  watcher.send(full_list_->bytes);
  if (full_list_->revision < revision_) {
    watcher.send(partial_list(full_list_->revision));
  }
}

std::string FakeDiscovery::encode_full_list() const {
  EndpointListEncoder encoder(revision_, ListKind::kComplete);
  for (const ListedServer& server : servers_) {
    if (server.phase != Phase::kRemoved) {
      encoder.add(server);
    }
  }
  return encoder.finish();
}

// Encodes the current state of each server that changed after the revision, in one list object.
FakeDiscovery::Buffer FakeDiscovery::partial_list(std::int64_t after) {
  Buffer& buffer = partial_lists_[after];
  if (!buffer) {
    EndpointListEncoder encoder(revision_, ListKind::kPartial);
    for (const ChangeHistory::ServerIndex index : history_.changed_since(after)) {
      encoder.add(servers_[index]);
    }
    buffer = std::make_shared<const std::string>(encode_chunked(encoder.finish()));
  }
  return buffer;
}

void FakeDiscovery::wait_for_heartbeats() {
  const std::chrono::microseconds period(options_.heartbeat_interval / kHeartbeatChecksPerInterval);
  heartbeat_timer_.expires_at(
      std::max(std::chrono::steady_clock::now(), heartbeat_timer_.expiry() + period));
  heartbeat_timer_.async_wait([this](error_code ec) {
    if (ec) {
      return;
    }
    if (!is_silent_) {
      send_heartbeats();
    }
    wait_for_heartbeats();
  });
}

void FakeDiscovery::send_heartbeats() {
  const Micros tolerance = options_.heartbeat_interval / kHeartbeatChecksPerInterval / 2;
  const Micros due_if_sent_by = steady_now() - options_.heartbeat_interval + tolerance;
  for (const auto& connection : connections_) {
    auto& watcher = static_cast<Connection&>(*connection);
    if (!watcher.is_watch() || watcher.last_send_at() > due_if_sent_by ||
        watcher.unsent_bytes() > 0) {
      continue;
    }
    ++counts_.heartbeats;
    watcher.send(heartbeat_);
  }
}

// Returns a copy, because closing a connection removes it from connections_.
std::vector<std::shared_ptr<FakeDiscovery::Connection>> FakeDiscovery::watchers() const {
  std::vector<std::shared_ptr<Connection>> watchers;
  for (const auto& connection : connections_) {
    auto candidate = std::static_pointer_cast<Connection>(connection);
    if (candidate->is_watch()) {
      watchers.push_back(std::move(candidate));
    }
  }
  return watchers;
}

}  // namespace quota_gateway::scale
