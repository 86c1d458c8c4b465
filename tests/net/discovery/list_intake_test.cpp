// Tests DiscoveryClient with ListIntake against a fake agent on loopback that sends large, endless
// and slow lists.
#include <gtest/gtest.h>

#include "net/discovery/discovery_client.hpp"
#include "support/bytes_sent.hpp"
#include "support/gateway_test_bed.hpp"
#include "support/resource_usage.hpp"

namespace quota_gateway::net::testing {
namespace {

// Responds to each request with the pieces that `respond` returns, as fast as the client reads them
// or with `pause` us before each piece. An empty piece ends the data but not the connection.
class ListAgent : public Listener {
 public:
  using Pieces = std::function<std::string()>;

  ListAgent(asio::io_context& io, Timers& timers, const Clock& clock)
      : Listener(io), timers_(timers), clock_(clock) {}

  void hang_up() {
    for (const auto& peer : peers) {
      if (peer->socket.is_open()) {
        bytes_on_closed_connections_ += bytes_sent(peer->socket.native_handle());
        peer->reset();
      }
    }
  }

  // Bytes sent over the network, whether the client has read them or not.
  std::uint64_t bytes_sent_so_far() const {
    std::uint64_t bytes = bytes_on_closed_connections_;
    for (const auto& peer : peers) {
      bytes += peer->socket.is_open() ? bytes_sent(peer->socket.native_handle()) : 0;
    }
    return bytes;
  }

  std::function<Pieces(const std::string& target)> respond;
  Micros pause = 0;
  // The targets of the requests so far.
  std::vector<std::string> requests;
  std::vector<Micros> requested_at;

 protected:
  void on_input(PeerConnection& peer, std::string& pending) override {
    if (pending.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    requests.push_back(pending.substr(4, pending.find(" HTTP/") - 4));
    requested_at.push_back(clock_.now());
    pending.clear();
    write(peer.shared_from_this(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          respond(requests.back()));
  }

 private:
  void write(const std::shared_ptr<PeerConnection>& peer, std::string bytes, Pieces next) {
    auto owned_bytes = std::make_unique<std::string>(std::move(bytes));
    const auto buffer = asio::buffer(*owned_bytes);
    asio::async_write(peer->socket, buffer,
                      [this, peer, next = std::move(next), owned_bytes = std::move(owned_bytes)](
                          error_code ec, std::size_t) mutable {
                        if (ec) {
                          on_write_failed(*peer);
                        } else {
                          write_next(peer, std::move(next));
                        }
                      });
  }

  void write_next(const std::shared_ptr<PeerConnection>& peer, Pieces next) {
    const std::string piece = next();
    if (piece.empty()) {
      return;
    }
    if (pause == 0) {
      return write(peer, FakeDiscovery::chunk(piece), std::move(next));
    }
    timers_.after(pause, [this, peer, piece, next = std::move(next)]() mutable {
      write(peer, FakeDiscovery::chunk(piece), std::move(next));
    });
  }

  void on_write_failed(PeerConnection& peer) {
    if (peer.socket.is_open()) {
      bytes_on_closed_connections_ += bytes_sent(peer.socket.native_handle());
      peer.close();
    }
  }

  Timers& timers_;
  const Clock& clock_;
  std::uint64_t bytes_on_closed_connections_ = 0;
};

ListAgent::Pieces once(const std::string& text) {
  return
      [text, done = false]() mutable { return std::exchange(done, true) ? std::string() : text; };
}

// Returns the pieces of a list with an endless number of entries.
ListAgent::Pieces endless(std::int64_t revision, bool complete = true) {
  return [beginning = list_json(revision, complete, ""), entries = endpoint_entries_json(100),
          first = true]() mutable {
    if (!std::exchange(first, false)) {
      return ',' + entries;
    }
    return beginning.substr(0, beginning.rfind(']')) + entries;
  };
}

ListAgent::Pieces in_pieces(std::string text, std::size_t size) {
  return [text = std::make_shared<const std::string>(std::move(text)), position = std::size_t(0),
          size]() mutable {
    std::string piece = text->substr(std::min(position, text->size()), size);
    position += size;
    return piece;
  };
}

// Factor by which waits are shorter and byte rates are higher than in service.
constexpr int kSpeedup = 300;

ListLimits accelerated_limits() {
  ListLimits limits;
  limits.memory_bytes = 256 << 10;
  limits.unrestricted_bytes = 64 << 10;
  limits.small_list_bytes = 32 << 10;
  limits.bytes_per_second *= kSpeedup;
  limits.initial_wait /= kSpeedup;
  limits.max_request_interval /= kSpeedup;
  return limits;
}

class ListIntakeTest : public ::testing::Test {
 protected:
  void start(ListLimits limits = {}) {
    discovery.emplace(io, timers, clock,
                      DiscoveryOptions{.agent = agent.address(), .revision = 41, .limits = limits},
                      DiscoveryCallbacks{.on_update = [this](EndpointList list) {
                        updates.push_back(std::move(list));
                      }});
    discovery->start();
  }

  void run(Micros duration) {
    bool elapsed = false;
    timers.after(duration, [&] { elapsed = true; });
    ASSERT_TRUE(run_until(io, [&] { return elapsed; }));
  }

  asio::io_context io;
  Clock clock;
  Timers timers{io, clock};
  ListAgent agent{io, timers, clock};
  std::vector<EndpointList> updates;
  std::optional<DiscoveryClient> discovery;
};

TEST_F(ListIntakeTest, AcceptsAListOf170000AtTheFirstRequest) {
  // If such a list were rejected for its size or its duration, the agent would send it again 20
  // times per second.
  const std::string text = list_json(50, true, endpoint_entries_json(170'000));
  agent.respond = [all = in_pieces(text, 16384)](const std::string&) { return all; };
  const std::size_t before = resident_memory_bytes();
  const auto processor_time_before = thread_cpu_time_us();
  Micros iteration_began_at = clock.now();
  Micros longest_iteration = 0;
  start();
  ASSERT_TRUE(run_until(io, [&] {
    const Micros now = clock.now();
    longest_iteration = std::max(longest_iteration, now - iteration_began_at);
    iteration_began_at = now;
    return updates.size() == 1;
  }));
  std::cout << "170000 endpoints, " << text.size()
            << " bytes: " << thread_cpu_time_us() - processor_time_before
            << " us including the agent, resident memory grew by "
            << (resident_memory_bytes() - before) / 1024
            << " KiB, longest iteration of the event loop " << longest_iteration << " us\n";
  EXPECT_EQ(updates[0].endpoints.size(), 170'000U);
  EXPECT_EQ(updates[0].revision, 50);
  agent.respond = [](const std::string&) { return once("\n"); };
  run(300'000);
  EXPECT_EQ(agent.requests.size(), 1U);
  EXPECT_LT(resident_memory_bytes() - before, kSanitizerMemoryFactor * 40 << 20);
}

TEST_F(ListIntakeTest, ALargeTruncatedListHasNoEffectAndIsRequestedAgainImmediately) {
  const std::string text = list_json(50, true, endpoint_entries_json(60'000));
  agent.respond = [&](const std::string&) -> ListAgent::Pieces {
    if (agent.requests.size() > 1) {
      return in_pieces(text, 16384);
    }
    return in_pieces(text.substr(0, text.size() / 2) + "\n", 16384);
  };
  start();
  ASSERT_TRUE(run_until(io, [&] { return agent.requests.size() == 2; }));
  EXPECT_TRUE(updates.empty());
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(updates[0].endpoints.size(), 60'000U);
  EXPECT_EQ(agent.requests.size(), 2U);
  EXPECT_EQ(agent.requests.back(), "/catalog/members?watch=1");
}

TEST_F(ListIntakeTest, AnEndlessListCostsUnderTwoKilobytesASecondOnceWaitsHaveGrown) {
  agent.respond = [](const std::string&) { return endless(50); };
  ::testing::internal::CaptureStderr();
  start(accelerated_limits());
  run(5'000'000);
  const std::string log = ::testing::internal::GetCapturedStderr();
  EXPECT_NE(log.find("endpoints: its endpoints take too much memory; revision 41 stays in force"),
            std::string::npos)
      << log;
  const auto bytes_before = agent.bytes_sent_so_far();
  const auto requests_before = agent.requests.size();
  const Micros since = clock.now();
  run(6'000'000);
  const double seconds = double(clock.now() - since) / 1e6 * kSpeedup;  // in service
  const auto bytes = double(agent.bytes_sent_so_far() - bytes_before);
  const auto requests = double(agent.requests.size() - requests_before);
  std::cout << "in " << seconds << " s: " << bytes / seconds << " bytes per second, " << requests
            << " requests; before that: " << bytes_before << " bytes, " << requests_before
            << " requests\n";
  EXPECT_LT(bytes / seconds, 2'000);
  // At least one request every 4 s, or every 16 s on a machine that is four times slower.
  EXPECT_GT(requests, seconds / 16);
  EXPECT_TRUE(updates.empty());
}

TEST_F(ListIntakeTest, AcceptsAGoodListOnceTheFaultIsOver) {
  agent.respond = [](const std::string&) { return endless(50); };
  start(accelerated_limits());
  run(500'000);
  agent.respond = [](const std::string&) {
    return once(list_json(51, true, endpoint_entries_json(200)));
  };
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(updates[0].endpoints.size(), 200U);
  // A list of any size is accepted too, even with the revision of a rejected list, because a list
  // that was faulty once may be correct now.
  updates.clear();
  agent.respond = [](const std::string&) { return endless(52); };
  agent.hang_up();
  run(500'000);
  agent.respond = [](const std::string&) {
    return in_pieces(list_json(52, true, endpoint_entries_json(1'500)), 16384);
  };
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(updates[0].endpoints.size(), 1'500U);
  // The accepted list has cleared all failures, so after a disconnection the next request follows
  // immediately.
  agent.respond = [](const std::string&) { return once("\n"); };
  const auto requests_before = agent.requests.size();
  agent.hang_up();
  const Micros broke_off_at = clock.now();
  ASSERT_TRUE(run_until(io, [&] { return agent.requests.size() > requests_before; }));
  EXPECT_LT(clock.now() - broke_off_at, 250'000);
}

TEST_F(ListIntakeTest, AcceptsChangesWhileCompleteListsFail) {
  // Otherwise the list in force would be stale for as long as the fault lasts. Tests one list with
  // many changes and then several lists with one change each.
  agent.respond = [](const std::string&) { return endless(50); };
  ListLimits limits = accelerated_limits();
  limits.memory_bytes = 4 << 20;
  start(limits);
  run(500'000);
  ASSERT_TRUE(updates.empty());
  const auto requests_before = agent.requests.size();
  agent.respond = [](const std::string& target) {
    if (target.find("after=") == std::string::npos) {
      return endless(50);
    }
    return in_pieces(list_json(51, false, endpoint_entries_json(24'000)), 16384);
  };
  const Micros available_at = clock.now();
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  std::cout << "24000 changes were accepted after " << clock.now() - available_at << " us and "
            << agent.requests.size() - requests_before << " requests\n";
  EXPECT_EQ(updates[0].endpoints.size(), 24'000U);
  EXPECT_EQ(agent.requests.back(), "/catalog/members?watch=1&after=41");
  // Complete lists continue to fail after that.
  agent.respond = [](const std::string&) { return endless(52); };
  agent.hang_up();
  run(500'000);
  for (int revision = 53; revision < 56; ++revision) {
    agent.respond = [&](const std::string& target) {
      if (target.find("after=") == std::string::npos) {
        return endless(52);
      }
      return once(list_json(revision, false, entry_json("s1", "127.0.0.1:9", "draining")));
    };
    updates.clear();
    agent.hang_up();
    ASSERT_TRUE(run_until(io, [&] { return !updates.empty(); }));
    EXPECT_EQ(updates[0].revision, revision);
  }
}

TEST_F(ListIntakeTest, AnEndlessListOfChangesCostsUnderTwoKilobytesASecond) {
  agent.respond = [](const std::string&) { return endless(50, false); };
  start(accelerated_limits());
  run(5'000'000);
  const auto bytes_before = agent.bytes_sent_so_far();
  const Micros since = clock.now();
  run(6'000'000);
  const double seconds = double(clock.now() - since) / 1e6 * kSpeedup;  // in service
  EXPECT_LT(double(agent.bytes_sent_so_far() - bytes_before) / seconds, 2'000);
}

TEST(GatewayListIntake, AListBeyondTheMemoryLimitIsRejectedAndTheOneInForceStays) {
  // The limit depends on the gateway's memory limit. 1 MB is too little for 2,000 endpoints, 32 MB
  // are enough.
  for (const std::size_t memory_mb : {1, 32}) {
    GatewayTestBed test_bed;
    FakeServer server(test_bed.io);
    test_bed.add_persisted_endpoint(listed_endpoint("s1", server));
    test_bed.config.memory_limit_mb = memory_mb;
    test_bed.discovery.initial_body = list_json(42, true, endpoint_entries_json(2'000));
    ::testing::internal::CaptureStderr();
    GatewayServer& gateway = test_bed.start();
    const auto accepted = [&] {
      return gateway.render_stats().find("app.targets=2000\n") != std::string::npos;
    };
    const auto rejected = [&] { return test_bed.discovery.request_targets.size() > 3; };
    ASSERT_TRUE(test_bed.run_until([&] { return accepted() || rejected(); }));
    const std::string log = ::testing::internal::GetCapturedStderr();
    EXPECT_EQ(accepted(), memory_mb == 32) << log;
    EXPECT_EQ(rejected(), memory_mb == 1) << log;
    if (rejected()) {
      EXPECT_NE(gateway.render_stats().find("app.targets=1\n"), std::string::npos);
    }
  }
}

TEST_F(ListIntakeTest, RejectsASlowListAndRequestsItWithGrowingWaits) {
  // A slow list never pauses for long enough to be detected by its pauses. Without growing waits it
  // would be requested 20 times per second.
  agent.respond = [](const std::string&) {
    return in_pieces(list_json(50, true, endpoint_entries_json(100)), 1);
  };
  agent.pause = 5'000;
  ListLimits limits;
  limits.max_unfinished_lists = 3;
  start(limits);
  ASSERT_TRUE(run_until(io, [&] { return agent.requests.size() == 2; }));
  EXPECT_LT(agent.requested_at[1] - agent.requested_at[0], 2'000'000);
  ASSERT_TRUE(run_until(io, [&] { return agent.requests.size() == 12; }));
  // Without growing waits, this would take 0.8 s.
  EXPECT_GT(agent.requested_at[11] - agent.requested_at[7], 2'000'000);
  EXPECT_TRUE(updates.empty());
}

TEST_F(ListIntakeTest, RejectsALargeListThatBecomesSlow) {
  // The time credit that a list gains while it arrives fast is limited.
  agent.respond = [this](const std::string&) -> ListAgent::Pieces {
    return [this, piece_count = 0, next_fast_piece = endless(50)]() mutable {
      ++piece_count;
      if (piece_count < 500) {
        return next_fast_piece();
      }
      agent.pause = 5'000;
      return std::string(" ");
    };
  };
  start();
  ASSERT_TRUE(run_until(io, [&] { return agent.pause > 0; }));
  const Micros trickles_since = clock.now();
  ASSERT_TRUE(run_until(io, [&] { return agent.requests.size() == 2; }));
  EXPECT_LT(clock.now() - trickles_since, 4'000'000);
  EXPECT_TRUE(updates.empty());
}

TEST_F(ListIntakeTest, ALargeListMayTakeLongerThanASmallOne) {
  const std::string text = list_json(50, true, endpoint_entries_json(10'000));
  agent.respond = [&](const std::string&) { return in_pieces(text, 32768); };
  agent.pause = 8'000;  // 43 pauses: more than 150 ms in total, well over half a MB per second
  start();
  ASSERT_TRUE(run_until(io, [&] { return updates.size() == 1; }));
  EXPECT_EQ(agent.requests.size(), 1U);
}

}  // namespace
}  // namespace quota_gateway::net::testing
