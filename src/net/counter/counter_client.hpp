// The client of the quota counter. It pipelines calls over one connection, limits the time of each
// call, and reconnects automatically with a backoff that grows with each failure.
//
// While a counter is configured, GatewayServer owns a client and forwards the decision module's
// AddToCounter actions to it. The client runs on the thread of the io_context. Pending handlers and
// timers share ownership of the client, so its owner may release it while calls are in flight.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "net/counter/counter_backoff.hpp"
#include "net/counter/counter_call_queue.hpp"
#include "net/counter/counter_outage_log.hpp"
#include "net/counter/counter_protocol.hpp"
#include "net/event_loop/timers.hpp"
#include "net/system_call/socket_options.hpp"
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

// Adds amounts to counters and reports the outcome of each addition.
class CounterClient : public std::enable_shared_from_this<CounterClient> {
 public:
  // Receives the outcome of each addition. It may call add() and close_when_idle().
  using ReplyHandler = std::function<void(CounterReply)>;

  // `call_timeout` limits the time from add() to the reply, `connect_timeout` the time of one
  // attempt to connect, both in microseconds.
  CounterClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                boost::asio::ip::tcp::endpoint address, Micros call_timeout, Micros connect_timeout,
                ReplyHandler on_reply);

  // Starts connecting. Must be called once, on an object that is owned by a shared_ptr.
  void start();
  // Adds an amount to a counter. The reply handler is called exactly once, but not from within this
  // call, with kOk and the new total, with kNotAdded if the amount was certainly not added, or else
  // with kUnknown.
  void add(const AddToCounter& addition);
  // Rejects further calls and closes the connection after all calls in flight have been answered or
  // have timed out. The client does not reconnect after this.
  void close_when_idle();

  // Reconnects or checks the connection if an exception has prevented the timer for that. Returns
  // whether it had.
  bool resume();

 private:
  enum class State { kDisconnected, kConnecting, kConnected };
  // Increases when a connection begins or ends. A handler of an earlier generation must do nothing.
  using Generation = int;

  void connect();
  void begin_connection(Generation generation);
  void on_connected(boost::system::error_code ec);
  void reconnect_after_backoff(Micros now);
  void disconnect(const CounterDisconnect& cause);
  void close_if_idle();

  void write_pending_commands();
  void read();
  void on_received(std::size_t size);
  void parse_replies(std::size_t received);
  // Completes the oldest call with `reply`. Returns false if `reply` is not valid for that call.
  bool dispatch(const CounterProtocolReply& reply);

  void reject_call(const CounterCall& call);
  void on_call_timeout(std::uint64_t call_number);
  void finish(const UnansweredCall& unanswered);
  // Reports the outcome of a call unless it is a ping or was reported before.
  void finish(const CounterCall& call, CounterOutcome outcome, double total = 0);

  void check_liveness(Micros due);
  void send_ping();

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const boost::asio::ip::tcp::endpoint address_;
  const Micros call_timeout_;
  const Micros connect_timeout_;
  ReplyHandler on_reply_;

  boost::asio::ip::tcp::socket socket_;
  NoDelayOption no_delay_;  // of the current connection
  // The parser of the current connection.
  std::optional<CounterReplyParser> parser_;
  std::array<char, 4096> read_buffer_;
  CounterCallQueue calls_;

  State state_ = State::kDisconnected;
  // Whether close_when_idle() was called.
  bool closing_ = false;
  Generation connection_generation_ = 0;
  // When the next connection begins, while there is none.
  std::optional<Micros> reconnect_at_;
  Micros liveness_check_at_ = 0;  // when the next one is due
  // Time at which bytes were last received, or at which connecting last started or succeeded.
  Micros last_received_at_ = 0;
  CounterBackoff backoff_;
  CounterOutageLog outage_log_;
};

}  // namespace quota_gateway::net
