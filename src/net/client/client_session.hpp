// One client connection. A session reads requests, passes them to the gateway server and writes the
// responses. It is owned by the client listener and by its own pending operations. While a request
// awaits its response, the session continues to read, to notice when the client disconnects.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/client/body_arrival.hpp"
#include "net/client/client_callbacks.hpp"
#include "net/client/client_session_context.hpp"
#include "net/client/lingering_close.hpp"
#include "net/client/request_reader.hpp"
#include "net/client/response_output.hpp"
#include "net/client/session_activity.hpp"
#include "net/client/session_close.hpp"
#include "net/system_call/socket_options.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class ClientSession final : public std::enable_shared_from_this<ClientSession>,
                            public LingeringConnection {
 public:
  // `context` must outlive the session. `socket` must be connected and non-blocking.
  ClientSession(ClientSessionContext& context, ClientId client,
                boost::asio::ip::tcp::socket socket);

  // Starts the next read, unless one is pending or the session has buffered too much input.
  void read();
  // Reads again if an exception has interrupted that. Returns whether it had.
  bool resume();

  // See the functions of the same names in ClientListener. A call has no effect if the session is
  // in a state that doesn't allow it.
  void respond(const ClientResponse& response);
  void begin_response(std::optional<std::uint64_t> content_length, const std::string& piece);
  void send_body_piece(std::string piece);
  void finish_response();
  void abort_response();
  void request_body_piece();
  void withdraw_body_piece_request();

  // See ClientListener.
  bool check_connected();

  // Ends the session if it is idle between requests and its socket has no unread input. The client
  // gets a last response, 503, and the end of the stream: a request that crosses the end has its
  // response, and the client may repeat it.
  void close_if_idle();
  void close(const SessionClose& cause);
  // Closes the session at once to make room for another client. Unless its last response has been
  // written, its client gets 503: nothing was forwarded for it.
  void evict();
  // Rejects the request or closes the connection if a time limit has passed.
  void enforce_timeouts(Micros now);

  // Whether the session has had a request and waits for the next one.
  bool is_idle_between_requests() const { return activity_.is_idle_between_requests(); }
  Micros state_since() const { return activity_.state_since(); }
  // Number of bytes that were received and not parsed.
  std::size_t buffered_bytes() const { return reader_.buffered_bytes(); }
  // Number of bytes for which the session holds memory for them, whether used or not.
  std::size_t allocated_input_bytes() const { return reader_.allocated_input_bytes(); }
  EvictionRank eviction_rank();
  // Whether a request or a response could be lost if the process ended now.
  bool has_unfinished_work(Micros now) const;

 private:
  // Runs one step of a handler. After an exception the session ends with an error to its client.
  template <typename Step>
  void run_step(const Step& step);
  void end_after_exception();
  void answer_without_memory();

  bool is_in(SessionState state) const { return activity_.state() == state; }
  void enter(SessionState state) { activity_.enter(state, context_.clock.now()); }
  ConnectionUse use_after_response() const;

  bool exceeds_read_ahead_limit() const;
  std::size_t read_limit() const;
  void on_readable(boost::system::error_code ec);
  void on_received(std::size_t size);
  void watch_unread_input();
  void check_unread_input();
  void check_body_arrival();
  // Whether the socket holds the rest of the current request's body, unread.

  bool may_parse() const;
  void parse_input();
  RequestReader::Progress advance_message();
  void send_interim_response();
  void take_message();
  void respond_to_health_check();
  void deliver_request();
  void deliver_body_piece();
  void check_following_requests();

  void reject(boost::beast::http::status status, const std::string& reason);
  // Whether the memory allows the request whose head has just arrived or which is ready. A long one
  // is checked by its head, a short one once it is complete, so that its connection can be kept.
  bool has_memory_for_request(bool is_ready);
  // Whether the memory allows more bytes of the request that is being received.
  bool has_memory_for_input();
  void reject_for_lack_of_memory();
  void write_response(const ClientResponse& response, ConnectionUse connection_use);
  void write_piece();
  void write_output(void (ClientSession::*on_written)());
  void begin_stream(std::optional<std::uint64_t> content_length, const std::string& piece);
  void on_output_written(void (ClientSession::*on_written)(), boost::system::error_code ec);
  void on_piece_written();
  void on_response_written();
  void await_next_request();
  void end_idle();
  // Input has arrived behind the last response. Counts a request that has crossed it.
  void on_input_after_end();
  void close_after_last_response();
  bool is_aborting() const { return is_in(SessionState::kAborting); }
  void reset_aborted();

  boost::asio::ip::tcp::socket& socket() override { return socket_; }
  void on_input_discarded() override;
  void on_client_finished() override;

  ClientSessionContext& context_;
  const ClientId client_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  ResponseOutput output_;
  NoDelayOption no_delay_;
  SessionActivity activity_;
  BodyArrival body_arrival_;
  // The id that on_request returned for the current request, until its response is complete.
  std::optional<std::uint64_t> request_;
  // When a wait for input last began without any. What is read afterwards has arrived since then.
  Micros last_without_input_ = 0;
  bool is_reading_ = false;         // a read is pending, or input is being discarded
  bool is_watching_input_ = false;  // a check of the unread input is scheduled
  bool was_ended_idle_ = false;     // by end_idle(), and no input has arrived since then
  // Received bytes are being handled, so that an exception may have lost them.
  bool is_handling_input_ = false;
};

}  // namespace quota_gateway::net
