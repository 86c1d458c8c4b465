#include "net/admin/admin_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

#include "net/http/framing.hpp"
#include "net/system_call/send_all.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t kMaxHeaderSize = 4 << 10;  // bytes
constexpr std::uint64_t kMaxBodySize = 4 << 10;    // bytes
// From accepting the connection to the end of the request.
constexpr Micros kRequestTimeout = 2'500'000;
// From the response to closing the connection, for the operator's tool to read the response.
constexpr Micros kLingerTime = 500'000;

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// `extra_header` is empty or begins with a line break.
std::string render_response(int status, const std::string& extra_header, const std::string& body) {
  const auto reason = http::obsolete_reason(http::status(status));
  std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
  text.append(reason.data(), reason.size());
  text += "\r\nContent-Type: text/plain";
  text += "\r\nCache-Control: no-store";
  text += "\r\nConnection: close";
  text += "\r\nContent-Length: " + std::to_string(body.size());
  text += extra_header + "\r\n\r\n" + body;
  return text;
}

}  // namespace

AdminConnection::AdminConnection(tcp::socket socket, Timers& timers, const AdminHandlers& handlers,
                                 std::function<void(AdminConnection&)> on_close)
    : socket_(std::move(socket)),
      timers_(timers),
      handlers_(handlers),
      on_close_(std::move(on_close)) {
  parser_.header_limit(kMaxHeaderSize);
  parser_.body_limit(kMaxBodySize);
}

void AdminConnection::start() {
  timers_.after(kRequestTimeout, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->respond(408, "the request was not received completely in time\n");
    }
  });
  read();
}

void AdminConnection::close() {
  error_code ignored;
  socket_.close(ignored);
  on_close_(*this);
}

void AdminConnection::read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [this, self = shared_from_this()](error_code ec, std::size_t size) {
                            if (!socket_.is_open()) {
                              return;
                            }
                            if (ec) {
                              return close();
                            }
                            // Input after the request is read and discarded: closing a socket with
                            // unread input resets the connection, and the client would lose the
                            // response.
                            if (!responded_) {
                              parse(size);
                            }
                            read();
                          });
}

void AdminConnection::parse(std::size_t received) {
  unparsed_.append(read_buffer_.data(), received);
  while (!unparsed_.empty() && !parser_.is_done()) {
    error_code ec;
    const std::size_t parsed = parser_.put(asio::buffer(unparsed_), ec);
    unparsed_.erase(0, parsed);
    const bool needs_more = ec == http::error::need_more;
    if (ec == http::error::header_limit || ec == http::error::body_limit) {
      return respond_too_large();
    }
    if (ec && !needs_more) {
      return respond(400, ec.message() + "\n");
    }
    if (parser_.is_header_done() && !parser_.eager() && !accept_header()) {
      return;
    }
    if (needs_more) {
      if (unparsed_.size() > kMaxHeaderSize) {
        respond_too_large();
      }
      return;
    }
  }
  if (parser_.is_done()) {
    respond_to_request();
  }
}

// The parser first stops after the header, so that a request with too large a body is rejected
// before the body arrives.
bool AdminConnection::accept_header() {
  parser_.eager(true);
  try {
    check_framing(parser_.get(), http_version(parser_.get().version()));
    return true;
  } catch (const HttpError& e) {
    respond(int(e.status()), std::string(e.what()) + "\n");
    return false;
  }
}

void AdminConnection::respond_to_request() {
  const auto& request = parser_.get();
  const std::string_view path = path_of({request.target().data(), request.target().size()});
  const bool is_readiness_request = path == "/ops/readiness";
  const bool is_stats_request = path == "/ops/stats";
  if (!is_readiness_request && !is_stats_request) {
    return respond(404, "no resource has this path\n");
  }
  if (request.method() != http::verb::get) {
    return respond(405, "only the method GET is allowed\n", "\r\nAllow: GET");
  }
  if (is_stats_request) {
    return respond(200, handlers_.render_stats());
  }
  if (handlers_.is_ready()) {
    return respond(200, "ready\n");
  }
  respond(503, "not ready\n");
}

void AdminConnection::respond_too_large() {
  respond(413, "the header or body of the request exceeds its size limit\n");
}

void AdminConnection::respond(int status, const std::string& body,
                              const std::string& extra_header) {
  if (std::exchange(responded_, true)) {
    return;
  }
  response_ = render_response(status, extra_header, body);
  send_all(
      socket_, response_, [this] { return socket_.is_open(); },
      [this, self = shared_from_this()](error_code ec, std::size_t /*sent*/) {
        on_response_written(ec);
      });
  timers_.after(kLingerTime, [weak = weak_from_this()] {
    if (const auto self = weak.lock(); self && self->socket_.is_open()) {
      self->close();
    }
  });
}

void AdminConnection::on_response_written(error_code ec) {
  if (ec) {
    return close();
  }
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace quota_gateway::net
