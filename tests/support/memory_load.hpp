// Clients and servers that make a gateway hold as much memory as they can: hundreds of connections
// with requests that do not end, responses that are not read, heads of very many fields. They run
// in the event loop of the test.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "support/fake_server.hpp"
#include "support/peer_connection.hpp"

namespace quota_gateway::net::testing {

// What a LoadClient does on its connection.
enum class ClientLoad {
  kSlowUpload,          // writes a long body in pieces
  kStoppedUpload,       // stops in the middle of a body
  kUnendingHead,        // writes one field after the other
  kManyFields,          // stops in the middle of a body behind a head of many short fields
  kSlowReader,          // reads a long response in pieces; repeats a request that is not served
  kPipelinedHeads,      // sends requests with heads of many short fields ahead
  kPipelinedBodies,     // sends requests with bodies ahead
  kUnreadResponses,     // sends small requests ahead and reads no response
  kChangingCustomers,   // sends small requests of ever new customers ahead
  kUnendingChunkHeader  // sends a chunked body whose chunk extension does not end
};
inline constexpr int kClientLoads = 10;

// What a LoadServer answers.
enum class ServerLoad {
  kShort,         // a short response
  kManyFields,    // a head of many short fields, and a body that goes on slowly
  kLong,          // a long response of stated length
  kLongChunked,   // a long response in chunks, with trailers of many short fields
  kUntilClose,    // a long response that ends with its connection
  kUnendingHead,  // a head that does not end
  kNothing        // nothing at all
};
inline constexpr int kServerLoads = 7;

// Returns `count` short header fields, each with its line end.
std::string short_fields(int count);

// One client. Connects again, also to a gateway that does not listen yet, whenever its connection
// ends.
class LoadClient : public std::enable_shared_from_this<LoadClient> {
 public:
  // `number` must be unique among the clients of a test: it names the client's requests.
  LoadClient(asio::io_context& io, std::uint16_t port, ClientLoad load, int number);

  // Connects and begins.
  void connect();
  // Closes the connection for good.
  void stop();

 private:
  void reconnect();
  void start();
  void write(std::string text);
  void read();
  bool read_piece();
  void schedule_step();
  void step();
  std::string opening();
  std::string next_piece() const;
  std::string get() const;
  std::string post(const std::string& framing, const std::string& fields = "") const;
  std::string pipelined(int count, const std::function<std::string()>& request);
  std::string customer() const;

  const tcp::endpoint gateway_;
  const ClientLoad load_;
  const int number_;
  asio::io_context& io_;
  // A new socket for each connection, so that pending operations of earlier ones end.
  std::shared_ptr<tcp::socket> socket_;
  asio::steady_timer timer_;
  std::uint64_t connection_ = 0;  // counts connections, so that handlers of earlier ones do nothing
  int requests_ = 0;
  bool is_writing_ = false;
  std::array<char, 4096> input_{};
};

// A server that answers all requests in one way, but for those of a LoadProbe, which get a short
// response.
class LoadServer {
 public:
  LoadServer(asio::io_context& io, ServerLoad load);
  LoadServer(const LoadServer&) = delete;
  LoadServer& operator=(const LoadServer&) = delete;

  const FakeServer& listener() const { return server_; }

 private:
  void respond(PeerConnection& peer, const HttpRequest& request);
  void write(PeerConnection& peer, std::shared_ptr<const std::string> text, bool closes);
  void continue_slowly(const std::shared_ptr<PeerConnection>& peer);

  asio::io_context& io_;
  const ServerLoad load_;
  std::shared_ptr<const std::string> response_;
  FakeServer server_;
};

// A client that sends one short request every 100 ms, each on a connection of its own, and counts
// the ones that get no answer in time.
class LoadProbe {
 public:
  LoadProbe(asio::io_context& io, std::uint16_t port);
  ~LoadProbe();
  LoadProbe(const LoadProbe&) = delete;
  LoadProbe& operator=(const LoadProbe&) = delete;

  // Sends no further requests until resume().
  void pause() { is_paused_ = true; }
  void resume() { is_paused_ = false; }
  // Excuses the requests that are open, since the test ends their gateway now.
  void forget_open_requests();
  int answered() const { return answered_; }
  int served() const { return served_; }
  // Requests that were sent and got no answer within their time and 0.5 s more.
  int unanswered() const { return unanswered_; }
  // One line for each of them.
  const std::string& failures() const { return failures_; }

 private:
  struct Request;
  void send_next();
  void on_answered(Request& request, std::size_t size);
  void on_failed(Request& request, const std::string& reason);
  void expire();
  void watch_gateway_socket(Request& request) const;
  static std::string describe_gateway_socket(const Request& request);

  asio::io_context& io_;
  const tcp::endpoint gateway_;
  asio::steady_timer timer_;
  std::vector<std::shared_ptr<Request>> open_;
  bool is_paused_ = false;
  int sent_ = 0;
  int answered_ = 0;
  int served_ = 0;
  int unanswered_ = 0;
  std::string failures_;
};

}  // namespace quota_gateway::net::testing
