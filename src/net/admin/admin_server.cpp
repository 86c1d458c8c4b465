#include "net/admin/admin_server.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <iostream>
#include <string_view>

#include "net/http/framing.hpp"

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t kMostHeader = 4 << 10;
constexpr std::uint64_t kMostCallBody = 4 << 10;
constexpr Micros kCallWithin = 2'500'000;  // us from connecting to the end of the call
constexpr Micros kLinger = 500'000;        // us for the caller to take its answer before the close
constexpr Micros kAcceptAgain = 20'000, kListenAgain = 500'000;

}  // namespace

class AdminServer::AdminConnection : public std::enable_shared_from_this<AdminConnection> {
 public:
  AdminConnection(AdminServer& door, tcp::socket socket) : door_(door), socket_(std::move(socket)) {
    parser_.header_limit(kMostHeader);
    parser_.body_limit(kMostCallBody);
  }

  void start() {
    door_.timers_.after(kCallWithin, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->answer(408, "no whole call in time\n");
      }
    });
    read();
  }

  void close() {
    error_code ignored;
    socket_.close(ignored);
    door_.callers_.remove_if([this](const auto& c) { return c.get() == this; });
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [this, self = shared_from_this()](error_code ec, std::size_t size) {
                              if (!socket_.is_open()) {
                                return;
                              }
                              if (ec) {
                                return close();
                              }
                              // What comes after the call is read, so that the close does not
                              // reset, and thrown away.
                              if (!answered_) {
                                took(size);
                              }
                              read();
                            });
  }

  void took(std::size_t size) {
    pending_.append(chunk_.data(), size);
    while (!pending_.empty() && !parser_.is_done()) {
      error_code ec;
      const std::size_t used = parser_.put(asio::buffer(pending_), ec);
      pending_.erase(0, used);
      if (ec == http::error::header_limit || ec == http::error::body_limit) {
        return answer(413, "the call is too large\n");
      }
      if (ec && ec != http::error::need_more) {
        return answer(400, ec.message() + "\n");
      }
      if (parser_.is_header_done() && !parser_.eager() && !head()) {
        return;
      }
      if (ec == http::error::need_more) {
        if (pending_.size() > kMostHeader) {
          answer(413, "the call is too large\n");
        }
        return;
      }
    }
    if (parser_.is_done()) {
      call();
    }
  }

  // The head is looked at by itself, so that a length over the limit is not waited for.
  bool head() {
    parser_.eager(true);
    try {
      check_framing(parser_.get(), parser_.get().version() == 11);
      return true;
    } catch (const HttpError& e) {
      answer(int(e.status()), std::string(e.what()) + "\n");
      return false;
    }
  }

  void call() {
    const auto& request = parser_.get();
    const std::string_view target(request.target().data(), request.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    const bool readiness = path == "/ops/readiness";
    if (!readiness && path != "/ops/stats") {
      return answer(404, "no such call\n");
    }
    if (request.method() != http::verb::get) {
      return answer(405, "only GET\n", "\r\nAllow: GET");
    }
    if (!readiness) {
      return answer(200, door_.figures_());
    }
    door_.ready_() ? answer(200, "ready\n") : answer(503, "not ready\n");
  }

  void answer(int status, const std::string& body, const std::string& more = "") {
    if (std::exchange(answered_, true)) {
      return;
    }
    const auto reason = http::obsolete_reason(http::status(status));
    out_ = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason.data(), reason.size()) +
           "\r\nContent-Type: text/plain\r\nCache-Control: no-store\r\nConnection: "
           "close\r\nContent-Length: " +
           std::to_string(body.size()) + more + "\r\n\r\n" + body;
    asio::async_write(socket_, asio::buffer(out_),
                      [this, self = shared_from_this()](error_code ec, std::size_t) {
                        if (!socket_.is_open()) {
                          return;
                        }
                        if (ec) {
                          return close();
                        }
                        error_code ignored;
                        socket_.shutdown(tcp::socket::shutdown_send, ignored);
                      });
    door_.timers_.after(kLinger, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self && self->socket_.is_open()) {
        self->close();
      }
    });
  }

  AdminServer& door_;
  tcp::socket socket_;
  http::request_parser<http::string_body> parser_;
  std::array<char, 2048> chunk_;
  std::string pending_, out_;
  bool answered_ = false;
};

AdminServer::AdminServer(asio::io_context& io, Timers& timers, const tcp::endpoint& at,
                         std::function<bool()> ready, std::function<std::string()> figures)
    : timers_(timers),
      at_(at),
      ready_(std::move(ready)),
      figures_(std::move(figures)),
      acceptor_(io) {
  listen();
}
AdminServer::~AdminServer() = default;

// Danger: a door that can't be opened must not keep the gateway from serving; another try may.
void AdminServer::listen() {
  error_code ec;
  error_code ignored;
  acceptor_.open(at_.protocol(), ec);
  acceptor_.set_option(tcp::acceptor::reuse_address(true), ignored);
  if (!ec) {
    acceptor_.bind(at_, ec);
  }
  if (!ec) {
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (!ec) {
    return accept();
  }
  std::cerr << "operators: " << ec.message() << "; trying again\n";
  acceptor_.close(ignored);
  timers_.after(kListenAgain, [this] { listen(); });
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (ec) {
      return timers_.after(kAcceptAgain, [this] { accept(); });
    }
    if (callers_.size() >= kMaxAdminConnections) {
      std::shared_ptr<AdminConnection>(callers_.front())->close();
    }
    callers_.push_back(std::make_shared<AdminConnection>(*this, std::move(socket)));
    callers_.back()->start();
    accept();
  });
}

}  // namespace quota_gateway::net
