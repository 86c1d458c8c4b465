// The client of discovery: holds a watch on the list of servers and tells each change.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/discovery/endpoint_list_parser.hpp"
#include "net/discovery/list_retry_policy.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

struct DiscoveryOptions {
  // The discovery agent.
  boost::asio::ip::tcp::endpoint agent;
  // Of the endpoint list that the gateway has already; the watch asks for what changed since.
  std::int64_t revision = 0;
  // Of the random draws of backoffs.
  std::uint64_t seed = 0;
  // None: lists are pushed by an agent beside this gateway, which answers at once and at no cost.
  // Else lists are polled, and this is the longest backoff, in us, while discovery rejects
  // requests.
  std::optional<Micros> max_rejection_backoff = std::nullopt;
  // What a list may take, and what rejected lists may cost.
  ListLimits limits = {};
};

struct DiscoveryCallbacks {
  // A list has come whole: a complete one, or changes to the one in force.
  std::function<void(EndpointList)> on_update;
  // The agent has sent some of an answer with status 200, whether it holds a list or not. Called
  // for each piece, before an on_update from it.
  std::function<void()> on_response = [] {};
};

class DiscoveryClient {
 public:
  DiscoveryClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                  DiscoveryOptions options, DiscoveryCallbacks callbacks);
  void start();
  // Watches another agent from now on; what the old one told stands until the new one has told its
  // list.
  void move_to(boost::asio::ip::tcp::endpoint agent);

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;
  void connect();
  void request(int life);
  void read(int life);
  void took(std::size_t size);
  void text(std::string_view piece);
  void heard();
  void begin_list();
  void judge();
  void end_list();
  void came(std::size_t size);
  Micros list_within() const;
  void watch_list(int life, int begun, Micros due);
  void narrow(int buffer);
  void lost(const std::string& why, ListFailure cause = ListFailure::kMalformed);
  Micros give_up_list(const std::string& why, ListFailure cause);
  Micros patience() const;
  void watch_quiet(int life, Micros due);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  boost::asio::ip::tcp::endpoint agent_;
  const bool pushed_;
  std::int64_t revision_;
  bool whole_ = false;  // ask for the whole list next
  bool moved_ = false;  // the agent may not know our revision
  const DiscoveryCallbacks callbacks_;
  boost::asio::ip::tcp::socket socket_;
  std::optional<Parser> parser_;
  std::array<char, 16384> chunk_;
  std::string pending_, request_;
  const ListLimits limits_;
  ListRetryPolicy retry_policy_;
  std::optional<EndpointListParser> list_;            // that is coming
  ListReadScope scope_ = ListReadScope::kUnlimited;   // how much of it may be read
  bool judged_ = false;                               // it is known what it is
  std::optional<EndpointListParser::Header> failed_;  // of the last list that failed
  Micros came_ = 0, pace_ = 0;  // when some of it last came; by when more of it must have come
  int begun_ = 0;               // lists, so far
  bool narrow_ = false;         // little of what this connection brings may be read
  int life_ = 0;                // of the connection; handlers of earlier ones mean nothing
  Micros heard_ = 0;
  bool spoke_ = false;   // some of an answer has come on this connection
  Backoff backoff_;      // after a watch that broke or never came up: a matter of this gateway
  Backoff turned_away_;  // by a discovery that has no room, for nobody: up to `most_wait`
  Micros refused_ = 0;   // then: how long to wait
  Micros lost_at_ = 0;   // 0: it is not
  Micros logged_ = 0;
};

}  // namespace quota_gateway::net
