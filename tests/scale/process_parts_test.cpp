// Tests of the environment of a measured gateway process (servers, client, discovery agent), and of
// GatewayProcess with a program that is not a gateway.
#include <gtest/gtest.h>
#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "event_loop_thread.hpp"
#include "process/endless_list_agent.hpp"
#include "process/gateway_process.hpp"
#include "process/loopback_servers.hpp"
#include "process/paced_client.hpp"
#include "process/polling.hpp"
#include "process/process_usage.hpp"

namespace quota_gateway::scale {
namespace {

constexpr double kTimeoutS = 10;
constexpr Micros kServiceTime = 2'000;  // us

TEST(PacedClient, MeasuresLatencyFromTheDueTimeAndCountsFailures) {
  EventLoopThread servers_thread;
  const auto& servers = servers_thread.emplace<LoopbackServers>(kServiceTime);
  constexpr std::size_t kRequests = 20;
  EventLoopThread client_thread;
  const auto& client =
      client_thread.emplace<PacedClient>(PacedClientOptions{servers.address(3), 1'000, kRequests});
  ASSERT_TRUE(poll_until(kTimeoutS,
                         [&] { return client_thread.run([&] { return client.is_finished(); }); }));
  const auto latencies = client_thread.run([&] { return client.latencies_ms(); });
  ASSERT_EQ(latencies.size(), kRequests);
  EXPECT_GE(*std::min_element(latencies.begin(), latencies.end()), double(kServiceTime) / 1e3);
  EXPECT_EQ(client_thread.run([&] { return client.failed(); }), 0U);
}

TEST(PacedClient, ARequestToAClosedPortFails) {
  EventLoopThread thread;
  boost::asio::ip::tcp::endpoint closed_endpoint;
  {
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor closed(io, {boost::asio::ip::address_v4::loopback(), 0});
    closed_endpoint = closed.local_endpoint();
  }
  const auto& client = thread.emplace<PacedClient>(PacedClientOptions{closed_endpoint, 1'000, 3});
  ASSERT_TRUE(
      poll_until(kTimeoutS, [&] { return thread.run([&] { return client.is_finished(); }); }));
  EXPECT_EQ(thread.run([&] { return client.failed(); }), 3U);
}

TEST(LoopbackServers, HaveDistinctAddresses) {
  EventLoopThread thread;
  const auto& servers = thread.emplace<LoopbackServers>(kServiceTime);
  EXPECT_EQ(servers.address(0).address().to_string(), "127.64.0.0");
  EXPECT_EQ(servers.address(257).address().to_string(), "127.64.1.1");
  EXPECT_EQ(servers.address(0).port(), servers.address(257).port());
}

TEST(EndlessListAgent, SendsAListAsLongAsItIsRead) {
  constexpr std::size_t kBytes = 1'000'000;
  EventLoopThread thread;
  const auto& agent = thread.emplace<EndlessListAgent>();
  const std::string host_port = agent.host_port();
  const auto port = std::stoul(host_port.substr(host_port.find(':') + 1));
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::address_v4::loopback(), static_cast<unsigned short>(port)});
  boost::asio::write(socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  std::string list(kBytes, ' ');
  boost::asio::read(socket, boost::asio::buffer(list));
  EXPECT_NE(list.find(R"({"revision":2,"complete":true,"members":[)"), std::string::npos);
  EXPECT_EQ(list.find("]}"), std::string::npos);
  // A chunk counts when its write completes, which may be after its bytes have arrived here.
  EXPECT_TRUE(poll_until(kTimeoutS,
                         [&] { return thread.run([&] { return agent.bytes_sent(); }) >= kBytes; }));
  EXPECT_EQ(thread.run([&] { return agent.requests(); }), 1U);
}

TEST(ProcessUsage, IsPositiveForARunningProcess) {
  EXPECT_GT(process_cpu_ms(::getpid()), 0);
  EXPECT_GT(resident_mb(::getpid()), 0);
  EXPECT_GE(peak_resident_mb(::getpid()), resident_mb(::getpid()));
}

TEST(ProcessUsage, IsEmptyForAMissingProcess) {
  constexpr pid_t kNoSuchProcess = (1 << 22) + 1;  // above the highest process id of Linux
  EXPECT_FALSE(process_cpu_ms(kNoSuchProcess).has_value());
  EXPECT_DOUBLE_EQ(resident_mb(kNoSuchProcess), 0);
}

TEST(GatewayProcess, AProgramThatEndsIsNotReady) {
  const GatewayProcess process("/bin/false", GatewayConfigOptions{});
  try {
    process.wait_until_ready(kTimeoutS);
    FAIL() << "a program that ended was reported as ready";
  } catch (const GatewayProcessError& e) {
    EXPECT_EQ(e.kind(), GatewayProcessError::Kind::kNotReady);
  }
  EXPECT_FALSE(process.wait_until_serving(kTimeoutS));
}

TEST(GatewayProcess, WaitingForAnEndedProgramToBeIdleThrowsEnded) {
  const GatewayProcess process("/bin/false", GatewayConfigOptions{});
  EXPECT_FALSE(process.wait_until_serving(kTimeoutS));
  try {
    process.wait_until_idle(kTimeoutS);
    FAIL() << "waiting for an ended program to become idle did not throw";
  } catch (const GatewayProcessError& e) {
    EXPECT_EQ(e.kind(), GatewayProcessError::Kind::kEnded);
  }
}

TEST(Polling, GivesUpAfterTheTimeout) {
  EXPECT_TRUE(poll_until(0, [] { return true; }));
  EXPECT_FALSE(poll_until(0.01, [] { return false; }));
}

}  // namespace
}  // namespace quota_gateway::scale
