#include "fake_connection.hpp"

#include <stdexcept>

#include "clocks.hpp"

namespace quota_gateway::scale {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kMaxBuffersPerWrite = 64;

}  // namespace

FakeConnection::FakeConnection(tcp::socket socket, FakeConnections& open_connections,
                               Traffic& traffic)
    : socket_(std::move(socket)),
      open_connections_(open_connections),
      traffic_(traffic),
      last_received_at_(steady_now()) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void FakeConnection::start() {
  index_ = open_connections_.size();
  open_connections_.push_back(shared_from_this());
  read();
}

void FakeConnection::send(Buffer buffer) {
  if (!is_open_ || buffer->empty()) {
    return;
  }
  unsent_bytes_ += buffer->size();
  last_send_at_ = steady_now();
  queue_.push_back(std::move(buffer));
  if (!is_writing_) {
    write();
  }
}

void FakeConnection::send(std::string text) {
  send(std::make_shared<const std::string>(std::move(text)));
}

void FakeConnection::reset() {
  if (!is_open_) {
    return;
  }
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

void FakeConnection::close() {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  error_code ignored;
  socket_.close(ignored);
  on_closed();
  // Keeps the object alive while the last connection takes its position in the list.
  const auto self = shared_from_this();
  open_connections_.at(index_) = open_connections_.back();
  open_connections_.at(index_)->index_ = index_;
  open_connections_.pop_back();
}

void FakeConnection::read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [this, self = shared_from_this()](error_code ec, std::size_t size) { on_read(ec, size); });
}

void FakeConnection::on_read(error_code ec, std::size_t size) {
  if (!is_open_) {
    return;
  }
  if (ec) {
    close();
    return;
  }
  traffic_.received += size;
  last_received_at_ = steady_now();
  received_.append(read_buffer_.data(), size);
  on_received(received_);
  if (is_open_) {
    read();
  }
}

// Uses async_write_some instead of async_write, so that bytes that were sent before a connection
// broke are counted.
void FakeConnection::write() {
  is_writing_ = true;
  std::vector<asio::const_buffer> buffers;
  for (const Buffer& buffer : queue_) {
    if (buffers.size() == kMaxBuffersPerWrite) {
      break;
    }
    buffers.push_back(asio::buffer(*buffer));
  }
  buffers.front() += first_buffer_sent_;
  socket_.async_write_some(buffers, [this, self = shared_from_this()](
                                        error_code ec, std::size_t size) { on_written(ec, size); });
}

void FakeConnection::on_written(error_code ec, std::size_t size) {
  if (!is_open_) {
    return;
  }
  if (ec) {
    close();
    return;
  }
  is_writing_ = false;
  traffic_.sent += size;
  ++traffic_.writes;
  unsent_bytes_ -= size;
  first_buffer_sent_ += size;
  while (!queue_.empty() && first_buffer_sent_ >= queue_.front()->size()) {
    first_buffer_sent_ -= queue_.front()->size();
    queue_.pop_front();
  }
  if (!queue_.empty()) {
    write();
  }
}

void reset_all(FakeConnections& connections) {
  while (!connections.empty()) {
    connections.back()->reset();
  }
}

tcp::acceptor listen_on_loopback(asio::io_context& io, const tcp::endpoint& address) {
  if (!address.address().is_loopback()) {
    throw std::invalid_argument("not a loopback address: " + to_host_port(address));
  }
  tcp::acceptor acceptor(io);
  acceptor.open(address.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(address);
  acceptor.listen(asio::socket_base::max_listen_connections);
  return acceptor;
}

std::string to_host_port(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace quota_gateway::scale
