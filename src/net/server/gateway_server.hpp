// Round the decision module: the only caller of Gateway::handle. Turns what happened into events,
// hands them over in batches and carries out the actions. Owns the table of requests and their
// attempts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/admin/admin_server.hpp"
#include "net/client/client_listener.hpp"
#include "net/config/gateway_config.hpp"
#include "net/counter/counter_client.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/event_loop/timers.hpp"
#include "net/hot_restart/hot_restart.hpp"
#include "net/upstream/connection_pool.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class GatewayServer {
 public:
  GatewayServer(boost::asio::io_context& io, GatewayConfig config);

  boost::asio::ip::tcp::endpoint address() const { return frontend_.address(); }
  // Takes what may change while it runs: the settings, and where discovery and the counter are. The
  // rest waits for a restart.
  void reload(const GatewayConfig& config);
  // Goes on accepting, finishes all that has come before we may be killed, then calls `done`, once.
  void drain(std::function<void()> done);
  // A configuration that was turned down.
  void reload_failed() { ++reload_failure_; }
  // Fit to serve: servers are known, by discovery if it answers at all, and clients are let in.
  bool ready() const;
  // For the operators, a line a figure.
  std::string figures() const;
  std::optional<boost::asio::ip::tcp::endpoint> operators_address() const;

 private:
  // Of one class, since the start. Every request that was taken ends in exactly one of them; one
  // that its client abandoned is an error.
  struct Replies {
    std::uint64_t success = 0, overload = 0, error = 0;
  };
  struct Attempt {
    std::string server;
    Micros sent = 0;
    Micros patience = 0, until = 0;  // how long it is waited for
    bool out = true;
  };
  struct Request {
    std::uint64_t client = 0;
    Replies* replies = nullptr;  // of its class
    Micros deadline = 0;
    bool answered = false;
    bool late = false;  // its last attempt timed out
    bool whole = true;  // all of its body has come
    bool fed = false;  // some of it went to a server and was not kept: no other attempt can be made
    bool streaming = false;  // its answer has begun
    Micros patience = 0;     // of its client, from its last byte on
    int out = 0;
    ForwardedRequest outgoing;
    std::vector<Attempt> attempts;
  };
  using Requests = std::unordered_map<std::uint64_t, Request>;

  std::optional<std::uint64_t> took(std::uint64_t client, ClientRequest request);
  void gone(std::uint64_t id);
  void overdue(std::uint64_t id);
  void told(EndpointList list, EndpointListUpdate::Kind kind = EndpointListUpdate::Kind::kPartial);
  void apply(EndpointListUpdate::Kind kind = EndpointListUpdate::Kind::kPartial);
  bool partly_listed() const;
  bool waits_for_list() const;
  void release();
  void ended(AttemptKey key, AttemptResult result);
  void settle(Requests::iterator it, AttemptKey key, const AttemptResult& result);
  void written(AttemptKey key);
  void expire(AttemptKey key);
  // Long bodies and answers, piece by piece.
  void more(std::uint64_t id, const std::string& piece, bool last);
  void started(AttemptKey key, AttemptResult result, std::optional<std::uint64_t> length);
  void finished(Request& request, AttemptKey key, const AttemptResult& result);

  void push(Event event);
  void flush();
  void act(const SendAttempt& a);
  void act(const CancelAttempt& a);
  void act(const Reject& a);
  void act(const Fail& a);
  void act(const SetTimer& a);
  void act(const SendHealthCheck&) {}  // no site allows probes here
  void act(const AddToCounter& a);
  void act(const LogLine& a);

  Requests::iterator find(const std::string& id);
  void answer(Request& request, ClientResponse answer);
  // Counts the request's end. False if it has ended before.
  bool close(Request& request, std::uint64_t Replies::*end);
  void forget(Requests::iterator it);
  Micros latest(Micros at) const { return drained_ ? std::min(at, drain_until_) : at; }
  void hurry();
  void end_all();
  void look_drained();
  // The processes of this gateway, or what they do, have changed.
  void met();
  void look_ready();
  bool fit() const;
  void believe_known();
  void count_at(const std::optional<boost::asio::ip::tcp::endpoint>& address);

  boost::asio::io_context& io_;
  Settings settings_;
  const Micros dial_timeout_;
  Clock clock_;
  Timers timers_;
  Gateway gateway_;
  Requests requests_;
  std::unordered_set<std::string> open_ids_;  // trace ids of `requests_`
  std::uint64_t last_ = 0;
  std::map<std::string, Replies>
      replies_;  // by class, also of those that the settings no longer name
  std::uint64_t concurrent_ = 0, dispatches_ = 0, reload_success_ = 0, reload_failure_ = 0;
  std::optional<EndpointList> known_;  // the list that we were given, until it is taken
  bool listed_ = false;                // a list that names servers has been in force, whole
  bool applying_ = false;              // the next slice of one is on its way
  std::vector<std::pair<std::uint64_t, RequestArrived>> waiting_;  // for that, with their numbers
  std::vector<Event> events_;
  bool flushing_ = false;
  std::function<void()> drained_;
  Micros drain_until_ = 0;
  ConnectionPool upstream_;
  boost::asio::ip::tcp::endpoint discovery_at_;
  std::optional<boost::asio::ip::tcp::endpoint> counter_at_;
  std::shared_ptr<CounterClient> counter_;
  DiscoveryClient discovery_;
  ClientListener frontend_;
  HotRestart succession_;
  int others_ = 0;  // processes of this gateway, as the module was last told
  const std::size_t connections_;
  std::optional<AdminServer> operators_;
};

}  // namespace quota_gateway::net
