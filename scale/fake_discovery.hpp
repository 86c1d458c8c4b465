// A discovery agent as a gateway meets it: GET /catalog/members answers a complete list or, with
// watch=1, a watch. On loopback only, written from the protocol's page; it counts what it sends,
// receives and is asked for. Watchers share one encoded buffer of each change and each complete
// list, so that thousands of them cost one encoding.
//
// Owned by an EventLoopThread or by a test; all calls come from its event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "change_history.hpp"
#include "endpoint_list_encoder.hpp"
#include "fake_connection.hpp"
#include "listed_server.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::scale {

class FakeDiscovery {
 public:
  struct Options {
    std::vector<ListedServer> servers = {};
    std::int64_t revision = 1;
    // Changed entries that it remembers, to send partial lists from.
    std::size_t max_history_entries = 100'000;
    // Between empty lines on a watch without updates.
    Micros heartbeat_interval = 2'000'000;
    // 0: any free port.
    unsigned short port = 0;
    // In 127.0.0.0/8.
    std::string host = "127.0.0.1";
    // A watcher with more bytes queued than this is dropped at the next change.
    std::size_t max_unsent_bytes = 64U << 20;
  };
  struct Counts {
    Traffic traffic;
    // All that were read, those that were rejected included.
    std::uint64_t requests = 0;
    // Complete lists sent, on a watch or not.
    std::uint64_t full_lists = 0;
    // Watches that began with a partial list.
    std::uint64_t partial_lists = 0;
    // Changes sent to watchers, one for each watcher.
    std::uint64_t updates = 0;
    std::uint64_t heartbeats = 0;
    // Accepted so far.
    std::uint64_t connections = 0;
    std::uint64_t rejected = 0;
    std::uint64_t slow_watchers_dropped = 0;
    // Connected now.
    std::size_t watchers = 0;
    // By second of steady_now().
    std::map<Micros, std::uint32_t> requests_by_second;
  };
  struct Rejection {
    int status = 503;
    std::optional<int> retry_after_s = std::nullopt;
  };

  // Throws std::invalid_argument if the host is not on loopback.
  FakeDiscovery(boost::asio::io_context& io, Options options);
  ~FakeDiscovery();

  boost::asio::ip::tcp::endpoint address() const { return address_; }
  std::string host_port() const { return to_host_port(address_); }
  std::int64_t revision() const { return revision_; }
  // All that were ever listed, in the order in which they came; those with the phase kRemoved are
  // not listed any more.
  const std::vector<ListedServer>& servers() const { return servers_; }

  // Applies the entries as one change, sends it to all watchers and returns its revision.
  std::int64_t publish(const std::vector<ListedServer>& entries);

  // While silent it sends nothing and leaves requests unanswered; connections stay open and new
  // ones are accepted. What changed meanwhile is sent once it is no longer silent.
  void set_silent(bool silent);
  // Answers every request with this from now on; watches that are open stay.
  void reject_requests(const Rejection& rejection) { rejection_ = rejection; }
  void accept_requests() { rejection_.reset(); }
  // Partial lists start from the present revision; a request from an earlier one gets a complete
  // list.
  void forget_history() { history_.forget(revision_); }
  // Resets the connections of the watchers.
  void reset_watchers();
  // As when its machine is lost and returns: connections are reset and new ones refused until
  // start(), on the same port. The list and the history stay and may be changed meanwhile.
  void stop();
  void start();

  Counts counts() const { return counts_; }

 private:
  class Connection;
  using Buffer = FakeConnection::Buffer;
  struct EncodedList {
    Buffer bytes;
    std::int64_t revision = 0;
  };

  void on_request(const std::shared_ptr<Connection>& connection, const std::string& target);
  void begin_watch(Connection& watcher, const std::string& target);
  void send_rejection(Connection& connection) const;
  void send_list_response(Connection& connection);
  // Sends what the watcher lacks; none: it has no list.
  void bring_up_to_date(Connection& watcher, std::optional<std::int64_t> known_revision);
  void send_full_list(Connection& watcher);
  std::string encode_full_list() const;
  Buffer partial_list(std::int64_t after);
  void wait_for_heartbeats();
  void send_heartbeats();
  std::vector<std::shared_ptr<Connection>> watchers() const;

  boost::asio::io_context& io_;
  const Options options_;
  boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer heartbeat_timer_;
  std::vector<ListedServer> servers_;
  std::unordered_map<std::string, ChangeHistory::ServerIndex> index_by_id_;
  FakeConnections connections_;
  ChangeHistory history_;
  std::int64_t revision_;
  const Buffer heartbeat_;
  std::optional<EncodedList> full_list_;
  // By the revision that they start from, up to the present one.
  std::map<std::int64_t, Buffer> partial_lists_;
  bool is_silent_ = false;
  bool is_running_ = false;
  std::optional<Rejection> rejection_;
  Counts counts_;
};

}  // namespace quota_gateway::scale
