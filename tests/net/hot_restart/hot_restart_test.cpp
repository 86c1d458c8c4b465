// Two real processes of one gateway, the second started while the first serves.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <cstring>
#include <filesystem>

#include "support/process.hpp"

namespace quota_gateway::net::testing {
namespace {

class SuccessionTest : public ::testing::Test {
 protected:
  SuccessionTest() {
    char name[] = "/tmp/quota-gateway-folder-XXXXXX";
    folder = ::mkdtemp(name);
    discovery.first = list(42, true, entry("s1", server.text()));
  }
  ~SuccessionTest() override { std::filesystem::remove_all(folder); }
  std::string file() const { return folder + "/cottonroad.sock"; }
  std::string configured(std::uint16_t mgmt) {
    return config(port, server, discovery,
                  R"("mgmt":"127.0.0.1:)" + std::to_string(mgmt) + R"(",)");
  }
  bool ready(std::uint16_t mgmt) {
    Client c(io, {asio::ip::address_v4::loopback(), mgmt});
    c.send("GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = c.receive();
    return answer && answer->result_int() == 200;
  }
  Client client() { return {io, {asio::ip::address_v4::loopback(), port}}; }
  // The status of a request, and whether the connection is to go on.
  std::pair<int, bool> ask(Client& c) {
    c.send(get(label("t", ++asked)));
    const auto answer = c.receive();
    return answer ? std::pair(int(answer->result_int()), answer->keep_alive())
                  : std::pair(0, false);
  }
  int served(int n) {
    int out = 0;
    for (int i = 0; i < n; ++i) {
      Client c = client();
      const int status = ask(c).first;
      if (status != 200) {
        ADD_FAILURE() << status;
      }
      out += status == 200;
    }
    return out;
  }

  asio::io_context io;
  FakeServer server{io};
  FakeDiscovery discovery{io};
  std::string folder;
  const std::uint16_t port = free_port(io);
  const std::uint16_t old_mgmt = free_port(io), new_mgmt = free_port(io);
  int asked = 0;
};

TEST_F(SuccessionTest, NoConnectionFallsBetweenTheOldAndTheNewProcess) {
  Process old(configured(old_mgmt), folder);
  old.log_until("ready");
  ASSERT_TRUE(until(io, [&] { return ready(old_mgmt); }));
  Client kept = client();
  Client idle = client();
  EXPECT_EQ(ask(kept), std::pair(200, true));
  EXPECT_EQ(ask(idle), std::pair(200, true));
  Process young(configured(new_mgmt), folder);
  young.log_until("ready");
  ASSERT_TRUE(until(io, [&] { return ready(new_mgmt); }));
  EXPECT_EQ(served(2), 2);
  // Those that the old one has are answered there, and sent to the new one.
  ASSERT_TRUE(until(io, [&] { return !ready(old_mgmt); }));
  EXPECT_EQ(ask(kept), std::pair(200, false));
  EXPECT_TRUE(kept.ended());
  // What comes while the old one ends and the new one stands still waits in the queue that both
  // hold.
  young.kill(SIGSTOP);
  Client between = client();
  between.send(get("between"));
  old.terminate();
  EXPECT_EQ(old.exit_code(), 0);
  EXPECT_TRUE(idle.ended());
  young.kill(SIGCONT);
  const auto answer = between.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200U);
  EXPECT_EQ(served(2), 2);
  // And the next one finds it.
  Process third(configured(old_mgmt), folder);
  ASSERT_NE(third.log_until("1 other processes").find("1 other"), std::string::npos);
}

TEST_F(SuccessionTest, TheOldProcessServesUntilTheNewOneIsFitTo) {
  Process old(configured(old_mgmt), folder);
  old.log_until("ready");
  ASSERT_TRUE(until(io, [&] { return ready(old_mgmt); }));
  FakeDiscovery mute(io);
  mute.mute = true;
  FakeServer none(io);
  std::string blind =
      config(port, none, mute, R"("mgmt":"127.0.0.1:)" + std::to_string(new_mgmt) + R"(",)");
  const std::string phase = R"("phase":"up")";
  blind.replace(blind.find(phase), phase.size(), R"("phase":"draining")");
  Process young(blind, folder);
  young.log_until("ready");
  EXPECT_FALSE(ready(new_mgmt));
  EXPECT_EQ(served(3), 3);
  young.kill(SIGKILL);  // midway
  EXPECT_EQ(served(3), 3);
  ASSERT_NE(old.log_until("0 other processes").find("0 other"), std::string::npos);
  EXPECT_TRUE(ready(old_mgmt));
}

TEST_F(SuccessionTest, AnOldProcessThatDiesLeavesTheQueueToTheNewOne) {
  Process old(configured(old_mgmt), folder);
  old.log_until("ready");
  ASSERT_TRUE(until(io, [&] { return ready(old_mgmt); }));
  Process young(configured(new_mgmt), folder);
  young.log_until("ready");
  ASSERT_TRUE(until(io, [&] { return ready(new_mgmt); }));
  old.kill(SIGKILL);
  EXPECT_EQ(served(3), 3);
  // Its file is still there; who starts after both are gone listens on its own.
  young.kill(SIGKILL);
  young.exit_code();
  ASSERT_TRUE(std::filesystem::exists(file()));
  Process third(configured(old_mgmt), folder);
  third.log_until("ready");
  ASSERT_TRUE(until(io, [&] { return ready(old_mgmt); }));
  EXPECT_EQ(served(1), 1);
}

TEST_F(SuccessionTest, WhateverIsInTheFolderAProcessStarts) {
  const auto starts = [&] {
    Process p(configured(old_mgmt), folder);
    p.log_until("ready");
    return until(io, [&] { return ready(old_mgmt); }) && served(1) == 1;
  };
  std::ofstream(file()) << "half a wri";
  EXPECT_TRUE(starts()) << "a file";
  std::filesystem::remove_all(file());
  std::filesystem::create_directory(file());
  EXPECT_TRUE(starts()) << "a folder";
  std::filesystem::remove_all(file());
  // A stranger: it takes the connection, and says nothing or what nobody understands.
  for (const std::string& says :
       {std::string(), std::string("hello"), std::string("quota_gateway/1 welcome")}) {
    sockaddr_un at{};
    at.sun_family = AF_UNIX;
    std::strncpy(at.sun_path, file().c_str(), sizeof at.sun_path - 1);
    std::filesystem::remove_all(file());
    const int stranger = ::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ASSERT_EQ(::bind(stranger, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
    ASSERT_EQ(::listen(stranger, 4), 0);
    Process p(configured(old_mgmt), folder);
    int guest = -1;
    ASSERT_TRUE(until(io, [&] { return (guest = ::accept(stranger, nullptr, nullptr)) >= 0; }));
    if (!says.empty()) {
      ::send(guest, says.data(), says.size(), MSG_NOSIGNAL);
    }
    p.log_until("ready");
    EXPECT_TRUE(until(io, [&] { return ready(old_mgmt); }) && served(1) == 1)
        << "a stranger: " << says;
    ::close(guest);
    ::close(stranger);
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
