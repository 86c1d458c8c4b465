// The operators' door and its figures, on a whole gateway.
#include "net/admin/admin_server.hpp"

#include <gtest/gtest.h>

#include <list>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

class OperatorsTest : public ::testing::Test {
 protected:
  OperatorsTest() { rig.config.admin_address = tcp::endpoint(asio::ip::address_v4::loopback(), 0); }
  Client caller() { return {rig.io, *rig.driver->operators_address()}; }
  // The status of a call, and its body.
  std::pair<int, std::string> call(const std::string& text) {
    Client c = caller();
    c.send(text);
    const auto answer = c.receive();
    return answer ? std::pair(int(answer->result_int()), answer->body())
                  : std::pair(0, std::string());
  }
  int readiness() { return call("GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n").first; }
  int figure(const std::string& name) {
    std::string all = call("GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n").second;
    all.insert(all.begin(), '\n');
    const auto at = all.find("\napp." + name + "=");
    return at == std::string::npos ? -1 : std::stoi(all.substr(at + name.size() + 6));
  }
  int status(Client& c) {
    const auto answer = c.receive();
    return answer ? int(answer->result_int()) : 0;
  }
  Rig rig;
  FakeServer s1{rig.io}, s2{rig.io};
};

TEST_F(OperatorsTest, NothingListensWhereNoPlaceIsNamed) {
  rig.config.admin_address.reset();
  rig.start();
  EXPECT_FALSE(rig.driver->operators_address());
}

TEST_F(OperatorsTest, APlaceThatCannotBeHadKeepsNobodyFromServing) {
  // Guards against a start that is refused because another process still has the operators' place.
  tcp::acceptor other(rig.io, {asio::ip::address_v4::loopback(), 0}, false);
  const auto place = other.local_endpoint();
  rig.config.admin_address = place;
  rig.know(member("s1", s1));
  rig.start();
  Client c = rig.client();
  c.send(get("a"));
  EXPECT_EQ(status(c), 200);
  other.close();
  ASSERT_TRUE(rig.until([&] {
    error_code ec;
    tcp::socket again(rig.io);
    again.connect(place, ec);
    return !ec;
  }));
  EXPECT_EQ(readiness(), 200);
}

TEST_F(OperatorsTest, ReadyOnceServersAreKnownAndUntilItDrains) {
  rig.discovery.mute = true;
  rig.start();
  EXPECT_EQ(readiness(), 503);
  ASSERT_TRUE(rig.until([&] { return rig.discovery.asked.size() == 1; }));
  rig.discovery.raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  rig.discovery.tell(list(42, true, entry("s1", s1.text(), "draining")));
  ASSERT_TRUE(rig.until([&] { return figure("targets") == 1; }));
  EXPECT_EQ(readiness(), 503);
  EXPECT_EQ(figure("targets_disabled"), 1);
  rig.discovery.tell(list(43, false, entry("s2", s2.text())));
  ASSERT_TRUE(rig.until([&] { return figure("targets") == 2; }));
  EXPECT_EQ(readiness(), 200);
  rig.discovery.tell(list(44, false, entry("s1", s1.text(), "removed")));
  ASSERT_TRUE(rig.until([&] { return figure("targets") == 1; }));
  EXPECT_EQ(figure("targets_disabled"), 0);
  rig.driver->drain([] {});
  EXPECT_EQ(readiness(), 503);
}

TEST_F(OperatorsTest, WhatIsNoCallIsTurnedDownAndClosed) {
  rig.start();
  const std::map<std::string, int> calls = {
      {"nonsense\r\n\r\n", 400},
      {"GET /ops/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {"POST /ops/stats HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 405},
      {"GET /ops/stats HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400},
      {"GET /ops/stats HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413},
      {"GET /ops/stats HTTP/1.1\r\nX: " + std::string(9'000, 'x') + "\r\n\r\n", 413},
      {"GET /" + std::string(9'000, 'x'), 413}};
  for (const auto& [text, want] : calls) {
    Client c = caller();
    c.send(text);
    EXPECT_EQ(status(c), want) << text.substr(0, 100);
    EXPECT_TRUE(c.ended()) << text.substr(0, 100);
  }
}

TEST_F(OperatorsTest, CallersThatSayNothingWholeKeepNobodyOut) {
  rig.know(member("s1", s1));
  rig.start();
  std::list<Client> slow;
  for (std::size_t i = 0; i < 3 * kMaxAdminConnections; ++i) {
    slow.emplace_back(rig.io, *rig.driver->operators_address()).send("GET /ops/sta");
    EXPECT_GE(figure("targets"), 1);
  }
  EXPECT_TRUE(slow.front().ended());
}

TEST_F(OperatorsTest, ClientsThatTakeEveryConnectionKeepNoCallerOut) {
  rig.know(member("s1", s1));
  rig.config.max_sockets = 64;
  rig.start();
  std::list<Client> crowd;
  for (int i = 0; i < 100; ++i) {
    crowd.emplace_back(rig.client()).send("GET /profile");
  }
  EXPECT_EQ(figure("targets"), 1);
}

TEST_F(OperatorsTest, EachRequestEndsInOneFigure) {
  rig.config.settings.plans[0].quota_rate = 2;
  rig.config.settings.plans[0].quota_burst = 3;
  rig.config.settings.gateway_count = 3;
  rig.know(member("s1", s1));
  rig.start();
  int served = 0;
  int refused = 0;
  for (int i = 0; i < 8; ++i) {
    Client c = rig.client();
    c.send(get(label("t", i)));
    ++(status(c) == 200 ? served : refused);
  }
  EXPECT_GT(served, 0);
  EXPECT_GT(refused, 0);
  EXPECT_EQ(figure("replies.profile-read.success"), served);
  EXPECT_EQ(figure("replies.profile-read.overload"), refused);
  EXPECT_EQ(figure("replies.profile-read.error"), 0);
  EXPECT_EQ(figure("replies.intro-request.success"), 0);
  EXPECT_EQ(figure("dispatches"), served);
  EXPECT_EQ(figure("concurrent"), 0);
}

TEST_F(OperatorsTest, AnAbandonedRequestEndsAsAnErrorAndIsOpenUntilThen) {
  std::shared_ptr<Peer> held;
  s1.on_request = [&](Peer& p, const Request_&) { held = p.shared_from_this(); };
  rig.know(member("s1", s1));
  rig.start();
  {
    Client c = rig.client();
    c.send(get("t"));
    ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
    EXPECT_EQ(figure("concurrent"), 1);
    EXPECT_EQ(figure("dispatches"), 1);
  }
  ASSERT_TRUE(rig.until([&] { return held->over; }));
  EXPECT_EQ(figure("concurrent"), 0);
  EXPECT_EQ(figure("replies.profile-read.error"), 1);
  EXPECT_EQ(figure("replies.profile-read.success"), 0);
  EXPECT_EQ(figure("replies.profile-read.overload"), 0);
}

TEST_F(OperatorsTest, AServerThatFailsInARowIsAvoidedAndItsRequestsAreErrors) {
  s1.on_request = [](Peer& p, const Request_&) { p.write(reply("500 Oops")); };
  rig.config.settings.classes[0].idempotency = Idempotency::kNonIdempotent;
  rig.know(member("s1", s1));
  rig.start();
  for (int i = 0; i < 3; ++i) {
    Client c = rig.client();
    std::string text = post(label("t", i));
    text.replace(text.find("intro-request"), 13, "profile-read");
    c.send(text);
    EXPECT_EQ(status(c), 502);
  }
  EXPECT_EQ(figure("replies.profile-read.error"), 3);
  EXPECT_EQ(figure("dispatches"), 3);
  EXPECT_EQ(figure("targets"), 1);
  EXPECT_EQ(figure("targets_disabled"), 1);
}

TEST_F(OperatorsTest, ADroppedClassIsLetInNoMoreAndItsOpenRequestsAreCountedUnderIt) {
  std::shared_ptr<Peer> held;
  s1.on_request = [&](Peer& p, const Request_&) { held = p.shared_from_this(); };
  rig.know(member("s1", s1));
  rig.start();
  Client open = rig.client();
  open.send(get("t"));
  ASSERT_TRUE(rig.until([&] { return held != nullptr; }));
  GatewayConfig other = rig.config;
  other.settings.classes[0].name = "profile-next";
  rig.driver->reload(other);
  EXPECT_EQ(figure("replies.profile-next.success"), 0);
  Client late = rig.client();
  late.send(get("u"));
  EXPECT_EQ(status(late), 400);
  held->write(reply("200 OK"));
  EXPECT_EQ(status(open), 200);
  EXPECT_EQ(figure("replies.profile-read.success"), 1);
  EXPECT_EQ(figure("replies.profile-read.error"), 0);
  s1.on_request = [](Peer& p, const Request_&) { p.write(reply("200 OK")); };
  Client next = rig.client();
  std::string text = get("v");
  text.replace(text.find("profile-read"), 12, "profile-next");
  next.send(text);
  EXPECT_EQ(status(next), 200);
  EXPECT_EQ(figure("replies.profile-next.success"), 1);
}

TEST_F(OperatorsTest, FilesTakenAndTurnedDownAreCounted) {
  rig.start();
  rig.driver->reload(rig.config);
  rig.driver->reload_failed();
  rig.driver->reload_failed();
  EXPECT_EQ(figure("reload_success"), 1);
  EXPECT_EQ(figure("reload_failure"), 2);
}

}  // namespace
}  // namespace quota_gateway::net::testing
