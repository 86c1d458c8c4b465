// Reload at SIGHUP: the configuration file is read again and takes effect completely or not at all.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/gateway_process.hpp"
#include "support/gateway_test_bed.hpp"

namespace quota_gateway::net::testing {
namespace {

TEST(ConfigReload, SighupAppliesNewAddressesAndKeepsTheOldOnesOnAnError) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery first(io);
  FakeDiscovery second(io);
  FakeCounter counter(io);
  FakeCounter next_counter(io);
  const auto port = free_port(io);
  const auto with_counter = [](const Listener& address) {
    return R"("counter":")" + address.host_port() + R"(",)";
  };
  Process process(config_json(port, server, first, with_counter(counter)));
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  ASSERT_TRUE(run_until(
      io, [&] { return first.request_targets.size() == 1 && counter.peers.size() == 1; }));
  for (const std::string& bad : {std::string("{\"name\":"), std::string(),
                                 config_json(port, server, first, "\"counter\":7,")}) {
    process.write_configuration(bad);
    process.request_reload();
    ASSERT_NE(
        process.read_log_until("configuration reload failed").find("previous one stays in force"),
        std::string::npos);
  }
  process.write_configuration(config_json(port, server, first, with_counter(counter)));
  process.request_reload();  // nothing changed
  ASSERT_NE(process.read_log_until("reloaded").find("reloaded"), std::string::npos);
  std::shared_ptr<PeerConnection> held;
  server.on_request = [&](PeerConnection& peer, const HttpRequest&) {
    held = peer.shared_from_this();
  };
  Client client(io, {asio::ip::address_v4::loopback(), port});
  client.send(get_request("a"));
  ASSERT_TRUE(run_until(io, [&] { return held != nullptr; }));
  second.initial_body = list_json(3, true, entry_json("s1", server.host_port()));
  process.write_configuration(config_json(port, server, second, with_counter(next_counter)));
  process.request_reload();
  ASSERT_TRUE(run_until(
      io, [&] { return second.request_targets.size() == 1 && next_counter.peers.size() == 1; }));
  EXPECT_EQ(second.request_targets[0], "/catalog/members?watch=1");
  ASSERT_TRUE(run_until(io, [&] { return first.peers[0]->closed && counter.peers[0]->closed; }));
  EXPECT_EQ(first.request_targets.size(), 1U);
  EXPECT_EQ(counter.peers.size(), 1U);
  held->write(http_response("200 OK", "", "held"));
  const auto answer = client.receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body(), "held");
}

TEST(ConfigReload, InvalidFileChangesNothingAndTheNextValidOneApplies) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  discovery.initial_body = list_json(42, true, entry_json("s1", server.host_port()));
  const auto port = free_port(io);
  const std::string first = config_json(port, server, discovery);
  Process process(first);
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  const auto edited = [&](const std::string& original, const std::string& replacement) {
    std::string text = first;
    text.replace(text.find(original), original.size(), replacement);
    return text;
  };
  const auto status = [&](const std::string& request_class, const std::string& id) {
    Client client(io, {asio::ip::address_v4::loopback(), port});
    std::string text = get_request(id);
    const std::string default_class = "profile-read";
    text.replace(text.find(default_class), default_class.size(), request_class);
    client.send(text);
    const auto answer = client.receive();
    return answer ? int(answer->result_int()) : 0;
  };
  // Each of these files also renames the class, which must not take effect when the rest of the
  // file is rejected.
  const std::string other = R"("Name":"profile-next")";
  const std::string name = R"("Name":"profile-read")";
  const std::vector<std::string> broken = {
      "",
      first.substr(0, first.size() / 2),
      first.substr(0, first.size() - 1),
      edited(name + ",", ""),
      edited(R"("GiveUpUs":4000000,)", ""),
      edited(R"("Limits":{"MaxAttempts":4})", R"("Limits":{})"),
      edited(R"(,"Limits":{"MaxAttempts":4})", ""),
      edited(R"("ReplicasOfMe":3,)", ""),
      edited(R"("seed":"8c1f30d27a5be964",)", ""),
      edited(R"("QuotaRate":900,)", ""),
      edited(R"("GiveUpUs":4000000)", R"("GiveUpUs":0)"),
      edited(R"("GiveUpUs":4000000)", R"("GiveUpUs":-5)"),
      edited(R"("GiveUpUs":4000000)", R"("GiveUpUs":"x")"),
      edited(R"("MaxAttempts":4)", R"("MaxAttempts":0)"),
      edited(R"("MaxAttempts":4)", R"("MaxAttempts":-1)")};
  int count = 0;
  for (std::string text : broken) {
    if (const auto position = text.find(name); position != std::string::npos) {
      text.replace(position, name.size(), other);
    }
    process.write_configuration(text);
    process.request_reload();
    ASSERT_NE(process.read_log_until("configuration").find("reload failed"), std::string::npos)
        << text;
    EXPECT_EQ(status("profile-read", prefixed_number("a", ++count)), 200) << text;
    EXPECT_EQ(status("profile-next", prefixed_number("b", count)), 400) << text;
  }
  process.write_configuration(edited(name, other));
  process.request_reload();
  ASSERT_NE(process.read_log_until("configuration").find("reloaded"), std::string::npos);
  EXPECT_EQ(status("profile-next", "c"), 200);
  EXPECT_EQ(status("profile-read", "d"), 400);
}

}  // namespace
}  // namespace quota_gateway::net::testing
