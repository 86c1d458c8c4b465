// The client of the quota counter: one connection over which calls are pipelined, each with a
// time-out of ours. Reconnects by itself after a pause that grows with each failure.
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
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

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
  enum class DisconnectReason {
    kClosedByOwner,
    kConnectTimeout,
    kSocketError,
    kReplyParserFailed,
    kMalformedReply,
    kReplyWithoutCall,
    kReplyWithoutTotal,
    kOversizedReply,
    kNoResponse,
  };
  struct Call {
    enum class Kind { kAdd, kPing };
    Kind kind = Kind::kAdd;
    std::int64_t counter_name = 0;
    Micros created_at = 0;
    // Answered by our time-out; the counter's reply, which may come later, is dropped.
    bool answered = false;
    // Grows from call to call, over all connections.
    std::uint64_t number = 0;
    // The encoded command. Empty once handed to the socket.
    std::string command;
    // Once handed to the socket: the offset of the command's end in the connection's byte stream.
    std::size_t end_offset = 0;
  };

  static std::string describe(DisconnectReason reason, boost::system::error_code error);

  void connect();
  void on_connected(boost::system::error_code ec);
  void reconnect_after_backoff(Micros now);
  void disconnect(DisconnectReason reason, boost::system::error_code error = {});
  void log_disconnect(Micros now, DisconnectReason reason, boost::system::error_code error);
  void close_if_idle();

  void write_pending_commands();
  void read();
  void parse_replies(std::size_t received);
  // Gives `reply` to the call that has waited longest. False: it is no reply to a call.
  bool dispatch(const CounterProtocolReply& reply);

  void on_call_timeout(std::uint64_t call_number);
  void finish(Call& call, CounterOutcome outcome, double total = 0);

  void check_liveness();
  void send_ping(Micros now);

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const boost::asio::ip::tcp::endpoint address_;
  const Micros call_timeout_;
  const Micros connect_timeout_;
  ReplyHandler on_reply_;

  boost::asio::ip::tcp::socket socket_;
  std::optional<CounterReplyParser> parser_;  // of the current connection
  std::array<char, 4096> read_buffer_;
  std::string write_buffer_;  // being written; empty: no write is pending
  std::size_t written_ = 0;   // bytes of the connection's byte stream before `write_buffer_`
  std::deque<Call> calls_;    // in the order in which they are written and answered

  State state_ = State::kDisconnected;
  bool closing_ = false;  // close_when_idle() was called
  // Grows when a connection begins or ends. A handler of an earlier generation must do nothing.
  int connection_generation_ = 0;
  std::uint64_t last_call_number_ = 0;
  Micros last_received_at_ = 0;  // or when connecting began or succeeded
  Micros backoff_ = 0;           // 0: reconnect at once
  std::optional<Micros> last_logged_at_;
  std::optional<Micros> disconnected_since_;  // none: it is connected, or never was
};

}  // namespace quota_gateway::net
