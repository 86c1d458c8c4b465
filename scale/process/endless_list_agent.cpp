#include "process/endless_list_agent.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Small, because bytes in the send buffer count as sent although they may never leave the kernel.
constexpr int kSendBufferBytes = 16 << 10;
constexpr std::size_t kMinChunkBytes = 8'000;  // of entries

std::string list_entry(std::size_t number) {
  return R"({"id":"s-)" + std::to_string(number) +
         R"(","host_port":"127.0.0.1:9","locality":"a","flavor":"m","cell":1,"phase":"up",)"
         R"("size":1.0,"up_since_ms":0})";
}

std::string http_chunk(const std::string& text) {
  std::array<char, 24> size_line{};
  std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", text.size());
  return size_line.data() + text + "\r\n";
}

}  // namespace

struct EndlessListAgent::Watch {
  explicit Watch(tcp::socket accepted) : socket(std::move(accepted)) {}
  tcp::socket socket;
  std::string request;
  std::string unsent;
  std::size_t entries = 0;  // generated for the list so far
};

EndlessListAgent::EndlessListAgent(asio::io_context& io)
    : acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
  accept();
}

std::string EndlessListAgent::host_port() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void EndlessListAgent::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) {
      return;
    }
    error_code ignored;
    socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
    read_request(std::make_shared<Watch>(std::move(socket)));
    accept();
  });
}

void EndlessListAgent::read_request(const std::shared_ptr<Watch>& watch) {
  asio::async_read_until(watch->socket, asio::dynamic_buffer(watch->request), "\r\n\r\n",
                         [this, watch](error_code error, std::size_t) {
                           if (!error) {
                             begin_list(watch);
                           }
                         });
}

void EndlessListAgent::begin_list(const std::shared_ptr<Watch>& watch) {
  ++requests_;
  watch->unsent = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  watch->unsent += http_chunk(R"({"revision":2,"complete":true,"members":[)");
  write(watch);
}

void EndlessListAgent::write(const std::shared_ptr<Watch>& watch) {
  const auto on_written = [this, watch](error_code error, std::size_t written) {
    bytes_sent_ += written;
    if (error) {
      return;
    }
    std::string entries;
    while (entries.size() < kMinChunkBytes) {
      if (watch->entries > 0) {
        entries += ",";
      }
      ++watch->entries;
      entries += list_entry(watch->entries);
    }
    watch->unsent = http_chunk(entries);
    write(watch);
  };
  asio::async_write(watch->socket, asio::buffer(watch->unsent), on_written);
}

}  // namespace quota_gateway::scale
