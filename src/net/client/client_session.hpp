// One client connection: reads requests, hands them to the gateway server, writes the responses.
// Owned by the client listener and by the session's own pending operations. It goes on reading
// while a request waits for its response, to notice that the client has disconnected.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/client/client_callbacks.hpp"
#include "net/client/request_reader.hpp"
#include "net/client/response_encoder.hpp"
#include "net/event_loop/timers.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// What a session asks of the listener that owns it.
class ClientSessionOwner {
 public:
  // The session has closed its socket; the owner lets go of it.
  virtual void on_session_closed(ClientId client) = 0;
  // The session waits for its client's next request. The owner may close it.
  virtual void on_session_idle() = 0;
  // Unparsed bytes of all sessions together.
  virtual std::size_t buffered_bytes() const = 0;

 protected:
  ~ClientSessionOwner() = default;
};

// What all sessions of a listener share; owned by the listener.
struct ClientSessionContext {
  ClientSessionOwner& owner;
  Timers& timers;
  const Clock& clock;
  const Settings& settings;
  ClientListenerCallbacks callbacks;
  bool draining = false;      // the gateway shuts down: responses close their connections
  bool handing_over = false;  // another process accepts new clients: so do they then
  // What is being read. One for all, as nothing stays in it between two turns of the event loop.
  std::array<char, std::size_t{64} << 10> read_buffer{};
};

// Which sessions are closed first to admit a new client; a larger one goes before a smaller one.
enum class EvictionRank {
  kNever,
  kMidRequest,     // some of a request has arrived
  kBetween,        // between requests
  kSilent,         // has never sent a byte
  kAfterResponse,  // has had its last response
};

class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  enum class State {
    kIdle,              // no byte of the next request has arrived
    kReading,           // some of a request has arrived
    kAwaitingResponse,  // the request is with the gateway server
    kWriting,           // the response is being written, or its next piece is awaited
    kClosing,           // the last response has been written; input is discarded
    kClosed,
  };

  ClientSession(ClientSessionContext& context, ClientId client,
                boost::asio::ip::tcp::socket socket);

  // Reads on, unless a read is under way or too much is buffered.
  void read();

  // See the functions of ClientListener. Each has no effect in a state that it doesn't fit.
  void respond(const ClientResponse& response);
  void begin_response(std::optional<std::uint64_t> content_length, const std::string& piece);
  void send_body_piece(std::string piece);
  void finish_response();
  void abort_response();
  void request_body_piece();

  // Closes the session if it is between requests and none has arrived, read or not.
  void close_if_idle();
  void close();
  // Rejects or closes what has exceeded its time.
  void enforce_timeouts(Micros now);

  // Waits for its client's next request, having had one.
  bool rests_between_requests() const { return state_ == State::kIdle && has_had_request_; }
  Micros state_since() const { return state_since_; }
  std::size_t buffered_bytes() const { return reader_.buffered_bytes(); }
  EvictionRank eviction_rank() const;
  // Something would be lost if the process ended now.
  bool has_work(Micros now) const;

 private:
  void enter(State state);
  bool closes_after_response() const;
  bool has_unread_input() const;

  bool is_too_far_ahead() const;
  std::size_t read_limit() const;
  void on_readable(boost::system::error_code ec);
  void parse_input();
  void take_message();
  void respond_to_health_check();
  void deliver_request();
  void deliver_body_piece();

  void reject(boost::beast::http::status status, const std::string& reason);
  void write_response(const ClientResponse& response, ConnectionUse connection_use);
  void write_piece();
  void write_output(void (ClientSession::*on_written)());
  void on_piece_written();
  void on_response_written();
  void release_output();

  void close_after_last_response();
  void discard_input();
  void on_discardable_input(boost::system::error_code ec);
  bool discard_received_bytes();
  void watch_for_disconnect();
  void check_for_disconnect();

  bool is_request_overdue(Micros now) const;
  bool has_exceeded_time(Micros now) const;

  ClientSessionContext& context_;
  const ClientId client_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  State state_ = State::kIdle;
  const Micros connected_at_;
  Micros state_since_;
  Micros last_received_at_ = 0;  // some of a request, or of input that is discarded
  std::uint64_t request_ = 0;    // the request that awaits its response, as on_request named it
  std::string output_;           // what is being written
  BodyDelimiter body_delimiter_ = BodyDelimiter::kContentLength;  // of a streamed response
  ConnectionUse connection_use_ = ConnectionUse::kKeepAlive;      // after the response
  bool is_reading_ = false;              // a read is under way, or a pause before the next
  bool has_sent_bytes_ = false;          // the client
  bool has_had_request_ = false;         // a whole one, or one with a long body
  bool body_piece_requested_ = false;    // the gateway server waits for it
  bool is_streaming_response_ = false;   // it is passed in pieces
  bool awaits_piece_ = false;            // the response's next piece has not been passed yet
  bool is_watching_disconnect_ = false;  // a check for it is scheduled
};

}  // namespace quota_gateway::net
