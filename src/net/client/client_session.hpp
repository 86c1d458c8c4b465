// One client connection: reads requests, hands them to the gateway server, writes the responses.
// Owned by the client listener and by the session's own pending operations. It goes on reading
// while a request waits for its response, to notice that the client has disconnected.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "net/client/client_callbacks.hpp"
#include "net/client/client_session_context.hpp"
#include "net/client/lingering_close.hpp"
#include "net/client/request_reader.hpp"
#include "net/client/response_output.hpp"
#include "net/client/session_activity.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

class ClientSession final : public std::enable_shared_from_this<ClientSession>,
                            public LingeringConnection {
 public:
  // `context` must outlive the session; `socket` is connected and doesn't block.
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
  bool rests_between_requests() const { return activity_.rests_between_requests(); }
  Micros state_since() const { return activity_.state_since(); }
  std::size_t buffered_bytes() const { return reader_.buffered_bytes(); }
  EvictionRank eviction_rank() const;
  // Something would be lost if the process ended now.
  bool has_work(Micros now) const;

 private:
  bool is_in(SessionState state) const { return activity_.state() == state; }
  void enter(SessionState state) { activity_.enter(state, context_.clock.now()); }
  ConnectionUse use_after_response() const;

  bool is_too_far_ahead() const;
  std::size_t read_limit() const;
  void on_readable(boost::system::error_code ec);
  void on_received(std::size_t size);
  void watch_for_disconnect();
  void check_for_disconnect();

  bool may_parse() const;
  void parse_input();
  RequestReader::Progress advance_message();
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
  void await_next_request();
  void close_after_last_response();

  boost::asio::ip::tcp::socket& socket() override { return socket_; }
  void on_input_discarded() override;
  void on_client_finished() override;

  ClientSessionContext& context_;
  const ClientId client_;
  boost::asio::ip::tcp::socket socket_;
  RequestReader reader_;
  ResponseOutput output_;
  SessionActivity activity_;
  // The request that awaits its response or the rest of it, as on_request named it.
  std::optional<std::uint64_t> request_;
  bool is_reading_ = false;              // a read is pending, or input is being discarded
  bool is_watching_disconnect_ = false;  // a check for it is scheduled
};

}  // namespace quota_gateway::net
