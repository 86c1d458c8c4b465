// Tests of FakeDiscovery with the real discovery client and with raw requests.
#include "fake_discovery.hpp"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "layout.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/discovery/endpoint_list_parser.hpp"
#include "net/event_loop/timers.hpp"
#include "scale_test_support.hpp"

namespace quota_gateway::scale {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using testing::make_servers;
using testing::run_until;
using testing::with_phase;

constexpr std::int64_t kFirstRevision = 41;

class FakeDiscoveryTest : public ::testing::Test {
 protected:
  void start_discovery(FakeDiscovery::Options options = {}) {
    if (options.servers.empty()) {
      options.servers = make_servers(50);
    }
    options.revision = kFirstRevision;
    discovery.emplace(io, options);
  }
  void watch(std::int64_t after) {
    clients.push_back(std::make_unique<net::DiscoveryClient>(
        io, timers, clock, net::DiscoveryOptions{.agent = discovery->address(), .revision = after},
        net::DiscoveryCallbacks{
            .on_update = [this](const net::EndpointList& list) { updates.push_back(list); }}));
    clients.back()->start();
  }
  bool wait_for_updates(std::size_t count) {
    return run_until(io, [&] { return updates.size() >= count; });
  }
  bool wait_for_watcher() {
    return run_until(io, [&] { return discovery->counts().watchers == 1; });
  }
  ListedServer listed(std::size_t server, Phase phase) const {
    return with_phase(discovery->servers().at(server), phase);
  }

  asio::io_context io;
  net::Clock clock;
  net::Timers timers{io, clock};
  std::optional<FakeDiscovery> discovery;
  // Kept until the end of the test, because the clients' handlers refer to them.
  std::vector<std::unique_ptr<net::DiscoveryClient>> clients;
  std::vector<net::EndpointList> updates;
};

TEST_F(FakeDiscoveryTest, WatchWithoutKnownRevisionGetsCompleteListAndThenChanges) {
  start_discovery();
  watch(0);
  ASSERT_TRUE(wait_for_updates(1));
  EXPECT_TRUE(updates[0].complete);
  EXPECT_EQ(updates[0].revision, 41);
  ASSERT_EQ(updates[0].endpoints.size(), 50U);
  EXPECT_EQ(updates[0].endpoints[9].entry.server, server_id(9));
  EXPECT_EQ(updates[0].endpoints[9].entry.zone, "c");
  EXPECT_EQ(updates[0].endpoints[9].address.port(), 1009);
  discovery->publish({listed(3, Phase::kDraining)});
  discovery->publish({listed(3, Phase::kRemoved), listed(4, Phase::kUp)});
  ASSERT_TRUE(wait_for_updates(3));
  EXPECT_FALSE(updates[1].complete);
  EXPECT_EQ(updates[1].revision, 42);
  EXPECT_EQ(updates[1].endpoints.at(0).entry.state, EndpointState::kDraining);
  EXPECT_EQ(updates[2].endpoints.size(), 2U);
  EXPECT_EQ(updates[2].endpoints[0].entry.state, EndpointState::kRemoved);
  EXPECT_EQ(discovery->counts().updates, 2U);
  EXPECT_EQ(discovery->counts().full_lists, 1U);
}

TEST_F(FakeDiscoveryTest, WatchGetsOnePartialListIfTheHistoryCoversItsRevision) {
  start_discovery({.max_history_entries = 3});
  discovery->publish({listed(1, Phase::kDraining)});
  discovery->publish({listed(1, Phase::kRemoved), listed(2, Phase::kDraining)});
  watch(41);
  ASSERT_TRUE(wait_for_updates(1));
  EXPECT_FALSE(updates[0].complete);
  EXPECT_EQ(updates[0].revision, 43);
  // Each server is listed once, in its current phase.
  ASSERT_EQ(updates[0].endpoints.size(), 2U);
  EXPECT_EQ(updates[0].endpoints[0].entry.state, EndpointState::kRemoved);
  // The fourth entry exceeds the history, so the oldest change is forgotten.
  discovery->publish({listed(5, Phase::kDraining)});
  ASSERT_TRUE(wait_for_updates(2));
  updates.clear();
  watch(41);
  ASSERT_TRUE(wait_for_updates(1));
  EXPECT_TRUE(updates[0].complete);
  EXPECT_EQ(updates[0].endpoints.size(), 49U);
}

TEST_F(FakeDiscoveryTest, CachedCompleteListIsFollowedByLaterChanges) {
  start_discovery();
  watch(0);
  ASSERT_TRUE(wait_for_updates(1));
  discovery->publish({listed(7, Phase::kDraining)});
  ASSERT_TRUE(wait_for_updates(2));
  updates.clear();
  watch(0);
  ASSERT_TRUE(wait_for_updates(2));
  EXPECT_EQ(updates[0].revision, 41);
  EXPECT_TRUE(updates[0].complete);
  EXPECT_EQ(updates[1].revision, 42);
  EXPECT_EQ(updates[1].endpoints.at(0).entry.state, EndpointState::kDraining);
}

TEST_F(FakeDiscoveryTest, SendsNothingWhileSilentAndTheMissedChangesAfterwards) {
  start_discovery();
  watch(41);
  ASSERT_TRUE(wait_for_watcher());
  const auto requests = discovery->counts().requests;
  discovery->set_silent(true);
  discovery->publish({listed(7, Phase::kDraining)});
  // The client detects the silence and reconnects; the agent still sends nothing.
  ASSERT_TRUE(run_until(io, [&] { return discovery->counts().connections >= 3; }));
  EXPECT_TRUE(updates.empty());
  EXPECT_EQ(discovery->counts().requests, requests);
  discovery->set_silent(false);
  ASSERT_TRUE(wait_for_updates(1));
  EXPECT_EQ(updates[0].revision, 42);
  EXPECT_FALSE(updates[0].complete);
}

TEST_F(FakeDiscoveryTest, RejectsResetsStopsAndRestarts) {
  start_discovery();
  discovery->reject_requests({.status = 503, .retry_after_s = 1});
  watch(41);
  ASSERT_TRUE(run_until(io, [&] { return discovery->counts().rejected >= 2; }));
  discovery->accept_requests();
  ASSERT_TRUE(wait_for_watcher());
  discovery->reset_watchers();
  EXPECT_EQ(discovery->counts().watchers, 0U);
  ASSERT_TRUE(wait_for_watcher());
  const auto address = discovery->address();
  discovery->stop();
  discovery->publish({listed(7, Phase::kDraining)});
  discovery->forget_history();
  discovery->start();
  EXPECT_EQ(discovery->address(), address);
  ASSERT_TRUE(wait_for_updates(1));
  // The agent has lost its history, and the client's revision is not the current one.
  EXPECT_TRUE(updates[0].complete);
}

TEST_F(FakeDiscoveryTest, HeartbeatsKeepAWatchOpen) {
  start_discovery({.heartbeat_interval = 100'000});
  watch(41);
  ASSERT_TRUE(run_until(io, [&] { return discovery->counts().heartbeats >= 20; }));
  EXPECT_EQ(discovery->counts().connections, 1U);
}

TEST_F(FakeDiscoveryTest, WithoutWatchTheResponseIsTheCompleteList) {
  start_discovery();
  tcp::socket socket(io);
  socket.connect(discovery->address());
  asio::write(socket,
              asio::buffer(std::string("GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n")));
  std::string response;
  bool is_read = false;
  asio::async_read_until(socket, asio::dynamic_buffer(response), "]}\n",
                         [&](auto, auto) { is_read = true; });
  ASSERT_TRUE(run_until(io, [&] { return is_read; }));
  const std::string body = response.substr(response.find("\r\n\r\n") + 4);
  const auto list = net::parse_endpoint_list(nlohmann::json::parse(body));
  EXPECT_EQ(list.endpoints.size(), 50U);
  EXPECT_TRUE(list.complete);
}

}  // namespace
}  // namespace quota_gateway::scale
