// Connections to servers: a pool for each, and the attempts on them. Maps what happened to an
// Outcome.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/discovery/discovery_client.hpp"
#include "net/discovery/endpoint_table.hpp"
#include "net/event_loop/timers.hpp"
#include "net/http/forwarded_request.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct ConnectionPoolLimits {
  Micros idle = 15'000'000;  // a server closes what has idled for so long
  Micros dial_timeout = 250'000;
  std::size_t connections = 400;
  Micros settle = 10'000;  // after an answer, in which more of it may come
};

struct AttemptKey {
  std::uint64_t request = 0;
  int attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};
struct AttemptKeyHash {
  std::size_t operator()(const AttemptKey& k) const {
    return std::size_t(k.request * 8 + unsigned(k.attempt));
  }
};

struct AttemptResult {
  Outcome outcome = Outcome::kReset;
  LoadReport load;
  std::string body;  // of a kOk: all of it, or what there is yet
  // Of a kOk: the request's true units, where the server stated them.
  std::optional<double> billed_units;
  Micros began = 0;  // when its first byte came; 0: none did
  // Percent of its quota that the customer has used, where the server stated it.
  std::optional<int> quota_usage_percent;
};

// What becomes of attempts. But for `written`, none is told from within a call to Upstream.
struct AttemptEvents {
  std::function<void(AttemptKey, AttemptResult)> ended;
  std::function<void(AttemptKey)> written = [](AttemptKey) {};  // its last byte has left
  std::function<void(AttemptKey)> wants = [](AttemptKey) {};    // what it had of the body has left
  // A long answer of so many bytes, where that is known, has begun; pieces follow one by one, each
  // asked for by resume(), and at last `ended`: kOk if all of it came.
  std::function<void(AttemptKey, AttemptResult, std::optional<std::uint64_t>)> started =
      [](AttemptKey, AttemptResult, std::optional<std::uint64_t>) {};
  std::function<void(AttemptKey, std::string)> piece = [](AttemptKey, std::string) {};
};

class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                 ConnectionPoolLimits limits, AttemptEvents events);
  ~ConnectionPool();

  // Takes a list, behind those that are on their way, for apply(); see Catalog.
  void take(EndpointList list) { catalog_.enqueue(std::move(list)); }
  // Puts the next slice of it in force and returns what has changed.
  EndpointChanges apply();
  // All that was taken is in force.
  bool settled() const { return catalog_.is_idle(); }
  // All of a list at once. Returns the servers whose address another one has now: what was there is
  // gone, told or not.
  std::vector<std::string> update(const EndpointList& list);
  // One result follows, never from within this call, unless the attempt is abandoned.
  void send(AttemptKey key, const std::string& server, const ForwardedRequest& what, Micros until);
  // More of the body of an attempt that wants it.
  void feed(AttemptKey key, const std::string& piece, bool last);
  // The piece of the answer that was told has been passed on.
  void resume(AttemptKey key);
  // Closes the attempt's connection. True if its last byte may have been written.
  bool abandon(AttemptKey key);
  // Servers that are listed, and those of them that run.
  std::size_t listed() const { return catalog_.size(); }
  bool any_up() const { return catalog_.up_count() > 0; }
  // From now on so many connections at the most.
  void bound(std::size_t connections);

 private:
  class Connection;
  using Held = std::shared_ptr<Connection>;
  using Pool = std::vector<Held>;  // idle connections to a server, last used last; never empty
  Held take_idle(const std::string& server);
  bool make_room();
  bool drop_oldest();
  void connect(const Held& connection);
  void write(const Held& connection);
  void write_rest(const Held& connection, std::size_t from);
  void left(const Held& connection);
  void read(const Held& connection);
  void took(const Held& connection, std::size_t size);
  void whole(const Held& connection);
  void answered(const Held& connection);
  bool relay(const Held& connection);
  AttemptResult result_of(Connection& connection);
  void broke(const Held& connection);
  void watch_answer(const Held& connection);
  void forget(const std::string& server);
  void end(const Held& connection, AttemptResult result, bool keep);
  void forget_idle(const Connection& connection);
  void learn_reuse(const Connection& connection, bool answered);
  void drop(Connection& connection);
  void end_later(AttemptKey key, Outcome outcome);
  void sweep();

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  ConnectionPoolLimits limits_;
  AttemptEvents events_;
  EndpointTable catalog_;
  std::unordered_map<std::string, Pool> pools_;  // by server, of those that have one
  std::unordered_map<AttemptKey, Held, AttemptKeyHash> attempts_;
  std::size_t open_ = 0;
  std::array<char, 32 << 10> scratch_;  // what is being read
  Micros reuse_for_;  // after an answer; what servers and those between bear, as far as seen
};

}  // namespace quota_gateway::net
