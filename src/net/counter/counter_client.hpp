// The client of the quota counter: one connection over which calls are pipelined, each with a
// time-out of ours. Reconnects by itself with a backoff that grows with each failure.
//
// GatewayServer owns one for as long as a counter is configured and forwards the decision module's
// AddToCounter actions to it. All of it runs on the thread of the io_context. Pending handlers and
// timers share ownership, so that its owner may release it while calls are in flight.
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
#include "quota_gateway/gateway.hpp"

namespace quota_gateway::net {

class CounterClient : public std::enable_shared_from_this<CounterClient> {
 public:
  // May call add() and close_when_idle().
  using ReplyHandler = std::function<void(CounterReply)>;

  // `call_timeout` runs from add() to the reply, `connect_timeout` from the start of one attempt to
  // connect, both in microseconds.
  CounterClient(boost::asio::io_context& io, Timers& timers, const Clock& clock,
                boost::asio::ip::tcp::endpoint address, Micros call_timeout, Micros connect_timeout,
                ReplyHandler on_reply);

  // Connects. Call it once, on an object that a shared_ptr owns.
  void start();
  // Adds to a counter. Exactly one reply follows, never from within this call: kOk with the new
  // total, kNotAdded if the amount was certainly not added, else kUnknown.
  void add(const AddToCounter& addition);
  // Rejects further calls and closes the connection once those in flight have their reply or timed
  // out; never reconnects.
  void close_when_idle();

 private:
  enum class State { kDisconnected, kConnecting, kConnected };
  // Grows when a connection begins or ends. A handler of an earlier generation must do nothing.
  using Generation = int;

  void connect();
  void on_connected(boost::system::error_code ec);
  void reconnect_after_backoff(Micros now);
  void disconnect(const CounterDisconnect& cause);
  void close_if_idle();

  void write_pending_commands();
  void read();
  void on_received(std::size_t size);
  void parse_replies(std::size_t received);
  // Gives `reply` to the call that has waited longest. False: it is no reply to a call.
  bool dispatch(const CounterProtocolReply& reply);

  void reject_call(const CounterCall& call);
  void on_call_timeout(std::uint64_t call_number);
  void finish(const UnansweredCall& unanswered);
  // Reports the outcome of a call, unless nobody waits for it.
  void finish(const CounterCall& call, CounterOutcome outcome, double total = 0);

  void check_liveness();
  void send_ping();

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const boost::asio::ip::tcp::endpoint address_;
  const Micros call_timeout_;
  const Micros connect_timeout_;
  ReplyHandler on_reply_;

  boost::asio::ip::tcp::socket socket_;
  // Of the current connection.
  std::optional<CounterReplyParser> parser_;
  std::array<char, 4096> read_buffer_;
  CounterCallQueue calls_;

  State state_ = State::kDisconnected;
  // close_when_idle() was called.
  bool closing_ = false;
  Generation connection_generation_ = 0;
  // Or when connecting began or succeeded.
  Micros last_received_at_ = 0;
  CounterBackoff backoff_;
  CounterOutageLog outage_log_;
};

}  // namespace quota_gateway::net
