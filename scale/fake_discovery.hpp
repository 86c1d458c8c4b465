// A fake discovery agent. GET /catalog/members returns a complete list or, with watch=1, opens a
// watch. The agent listens on loopback only, is written from the protocol's specification, and
// counts its traffic and requests. Watchers share one encoded buffer of each change and each
// complete list, so that thousands of watchers cost one encoding.
//
// Owned by an EventLoopThread or by a test; all calls are made on its event loop.
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

// Publishes a list of servers to watchers.
class FakeDiscovery {
 public:
  struct Options {
    std::vector<ListedServer> servers = {};
    std::int64_t revision = 1;
    // Changed entries that are stored to build partial lists from.
    std::size_t max_history_entries = 100'000;
    // Microseconds between empty lines on a watch without updates.
    Micros heartbeat_interval = 2'000'000;
    // 0: any free port.
    unsigned short port = 0;
    // An address in 127.0.0.0/8.
    std::string host = "127.0.0.1";
    // A watcher with more queued bytes than this is disconnected at the next change.
    std::size_t max_unsent_bytes = 64U << 20;
  };
  struct Counts {
    Traffic traffic;
    // Handled requests, including rejected ones.
    std::uint64_t requests = 0;
    // Complete lists sent, on a watch or as a single response.
    std::uint64_t full_lists = 0;
    // Watches that began with a partial list.
    std::uint64_t partial_lists = 0;
    // Changes sent to watchers, counted once for each watcher.
    std::uint64_t updates = 0;
    std::uint64_t heartbeats = 0;
    // Accepted so far.
    std::uint64_t connections = 0;
    std::uint64_t rejected = 0;
    std::uint64_t slow_watchers_dropped = 0;
    // Watches that are open now.
    std::size_t watchers = 0;
    // Requests in each second of steady_now().
    std::map<Micros, std::uint32_t> requests_by_second;
  };
  // The response to rejected requests.
  struct Rejection {
    int status = 503;
    std::optional<int> retry_after_s = std::nullopt;
  };

  // Throws std::invalid_argument if the host is not a loopback address.
  FakeDiscovery(boost::asio::io_context& io, Options options);
  ~FakeDiscovery();

  boost::asio::ip::tcp::endpoint address() const { return address_; }
  std::string host_port() const { return to_host_port(address_); }
  std::int64_t revision() const { return revision_; }
  // Returns all servers that were ever listed, in the order of their first listing. Servers in the
  // phase kRemoved are no longer listed.
  const std::vector<ListedServer>& servers() const { return servers_; }

  // Applies the entries as one change, sends it to all watchers and returns the new revision.
  std::int64_t publish(const std::vector<ListedServer>& entries);

  // While silent, the agent sends nothing and leaves requests unanswered; connections stay open and
  // new ones are accepted. When it is no longer silent, it sends the changes of that time and
  // handles the waiting requests.
  void set_silent(bool silent);
  // Rejects every request from now on; open watches stay open.
  void reject_requests(const Rejection& rejection) { rejection_ = rejection; }
  void accept_requests() { rejection_.reset(); }
  // Discards the history. From now on, partial lists start at the present revision or a later one,
  // and a request with an earlier revision gets a complete list.
  void forget_history() { history_.forget(revision_); }
  // Resets the connections of the watchers.
  void reset_watchers();
  // Simulates the loss of the agent's machine: connections are reset and new ones refused until
  // start(), which listens on the same port. The list and the history are kept and may be changed
  // in the meantime.
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
  // Sends the changes after `known_revision`, or a complete list if the watcher has no list or the
  // history does not go back far enough.
  void synchronize(Connection& watcher, std::optional<std::int64_t> known_revision);
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
  // Encoded partial lists up to the current revision, by the revision from which they start.
  std::map<std::int64_t, Buffer> partial_lists_;
  bool is_silent_ = false;
  bool is_running_ = false;
  std::optional<Rejection> rejection_;
  Counts counts_;
};

}  // namespace quota_gateway::scale
