// A gateway process with the least memory that a deployment may have and the most descriptors:
// hundreds of clients at once must not bring it over its memory.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <list>
#include <memory>
#include <string>

#include "support/gateway_process.hpp"
#include "support/gateway_test_bed.hpp"
#include "support/resource_usage.hpp"

namespace quota_gateway::net::testing {
namespace {

constexpr std::size_t kMemoryMegabytes = 32;
constexpr std::size_t kMaxBytes = (kMemoryMegabytes << 20) * kSanitizerMemoryFactor;
// A third of the descriptors, as many as clients may hold for their requests.
constexpr int kClients = 341;

// A configuration with that memory and a class whose requests have a body.
std::string small_memory_config(std::uint16_t port, const Listener& server,
                                const Listener& discovery) {
  return with_post_class(with_memory_limit(config_json(port, server, discovery), kMemoryMegabytes));
}

// Makes the address sanitizer of processes that are started from now on keep little freed memory.
// Its default of 256 MB would count as memory of the gateway.
struct SmallSanitizerQuarantine {
  SmallSanitizerQuarantine() { ::setenv("ASAN_OPTIONS", "quarantine_size_mb=1", 1); }
};

class MemoryLimit : public ::testing::Test {
 protected:
  MemoryLimit() { EXPECT_NE(process.read_log_until("ready").find("ready"), std::string::npos); }

  // A client with a small receive buffer.
  Client& add_client() {
    clients.emplace_back(io, tcp::endpoint(asio::ip::address_v4::loopback(), port));
    clients.back().socket.set_option(asio::socket_base::receive_buffer_size(4096));
    return clients.back();
  }
  void run_for(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_for(std::chrono::milliseconds(20));
    }
  }
  // The limit is on all resident memory, files included, and on its peak.
  void expect_memory_within_limit() const {
    const std::size_t peak = process_memory_bytes(process.process_id(), "VmHWM");
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, kMaxBytes);
  }

  asio::io_context io;
  FakeServer server{io};
  FakeDiscovery discovery{io};
  std::uint16_t port = free_port(io);
  SmallSanitizerQuarantine small_quarantine;
  Process process{small_memory_config(port, server, discovery)};
  std::list<Client> clients;
};

// Guards against bodies that are kept several times while their clients write on (review/6).
TEST_F(MemoryLimit, HoldsUploadsThatClientsWriteSlowly) {
  constexpr int kUploads = 120;
  server.hang();  // its system takes what the gateway forwards
  for (int i = 0; i < kUploads; ++i) {
    add_client().send(post_head("Content-Length: 384000", prefixed_number("t", i)));
  }
  for (int piece = 0; piece < 4; ++piece) {
    for (Client& client : clients) {
      client.send(std::string(64'000, 'u'));
    }
    run_for(std::chrono::milliseconds(500));
  }
  expect_memory_within_limit();
}

// Guards against buffers of twice the size of what they hold, for clients that never go on.
TEST_F(MemoryLimit, HoldsUploadsThatStopHalfWay) {
  for (int i = 0; i < kClients; ++i) {
    add_client().send(post_head("Content-Length: 65000", prefixed_number("t", i)) +
                      std::string(60'000, 'u'));
  }
  run_for(std::chrono::milliseconds(1500));
  expect_memory_within_limit();
}

// Guards against heads of many short fields, whose parsed form takes many times their size, while
// the body is awaited.
TEST_F(MemoryLimit, HoldsHeadsOfManyShortFields) {
  constexpr int kFields = 1500;
  std::string fields;
  for (int i = 0; i < kFields; ++i) {
    fields += "a:b\r\n";
  }
  for (int i = 0; i < kClients; ++i) {
    add_client().send(post_head(fields + "Content-Length: 20000", prefixed_number("t", i)) +
                      "begin");
  }
  run_for(std::chrono::milliseconds(1500));
  expect_memory_within_limit();
}

// Guards against responses that are kept several times while their clients read slowly.
TEST_F(MemoryLimit, HoldsLongResponsesThatClientsReadSlowly) {
  constexpr std::size_t kBodyBytes = 1 << 20;
  const std::string length_known = http_response("200 OK", "", std::string(kBodyBytes, 'r'));
  const std::string in_chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                chunk(std::string(kBodyBytes, 'r')) + "0\r\n\r\n";
  server.on_request = [&, number = 0](PeerConnection& peer, const HttpRequest&) mutable {
    const std::string& response = ++number % 2 == 0 ? length_known : in_chunks;
    asio::async_write(peer.socket, asio::buffer(response),
                      [keep = peer.shared_from_this()](error_code, std::size_t) {});
  };
  for (int i = 0; i < kClients; ++i) {
    add_client().send(get_request(prefixed_number("t", i)));
    run_for(std::chrono::milliseconds(5));
  }
  run_for(std::chrono::milliseconds(1500));
  EXPECT_GT(server.requests.size(), std::size_t(kClients / 2));
  expect_memory_within_limit();
}

}  // namespace
}  // namespace quota_gateway::net::testing
