// The configuration's file, with a list of servers of any size in it.
#include "net/config/config_loader.hpp"

#include <sstream>

#include "support/process.hpp"
#include "support/process_figures.hpp"

namespace quota_gateway::net::testing {
namespace {

using KnownMembers = ConfigLoader::KnownMembers;

ConfigFile read(const std::string& text, KnownMembers known = KnownMembers::kKeep) {
  std::istringstream file(text);
  ConfigLoader reader(file, known);
  while (reader.parse_chunk()) {
  }
  return reader.finish();
}

std::string file(const std::string& members, const std::string& more = "") {
  return R"({"name":"n0",)" + more + R"("known":{"revision":41,"complete":true,"members":[)" +
         members + R"(]},"settings":{"members":[{"Name":"x"}]}})";
}

TEST(ConfigFile, MembersAreKeptAndTheTreeHoldsOneOfEachShape) {
  const auto out = read(file(fleet(1000)));
  EXPECT_EQ(out.known.revision, 41);
  EXPECT_TRUE(out.known.complete);
  EXPECT_EQ(out.known.endpoints.size(), 1000U);
  EXPECT_EQ(out.tree["known"]["members"].size(), 1U);
  EXPECT_EQ(out.tree["settings"]["members"].size(), 1U);
  const auto checked = read(file(fleet(1000)), KnownMembers::kCheckOnly);
  EXPECT_EQ(checked.tree, out.tree);
  EXPECT_TRUE(checked.known.endpoints.empty());
  for (const char* none : {R"({"name":"n0"})", R"({"known":null})"}) {
    EXPECT_EQ(read(none).known.revision, 0);
  }
}

TEST(ConfigFile, WhatIsMalformedThrowsAlsoWhereMembersAreOnlyChecked) {
  const std::string whole = file(fleet(1000));
  const auto edited = [&](const std::string& from, const std::string& to) {
    std::string text = whole;
    return text.replace(text.rfind(from), from.size(), to);
  };
  for (const std::string& text :
       {std::string(), std::string("[]"), whole + "x", whole.substr(0, whole.size() - 1),
        whole.substr(0, whole.size() / 2), edited(R"("phase":"up")", R"("phase":"odd")"),
        edited(R"("phase":"up",)", ""), edited(":8081", ""), edited(R"("revision":41,)", ""),
        edited(R"("size":1.0)", R"("size":)")}) {
    for (const KnownMembers known : {KnownMembers::kKeep, KnownMembers::kCheckOnly}) {
      EXPECT_ANY_THROW(read(text, known));
    }
  }
}

TEST(ConfigFile, AKeyThatAllMembersHadIsMissedInAnyOfThem) {
  // Guards against a check of the first member alone, and against one of keys that only some had.
  const std::string with =
      R"({"id":"a","phase":"up","host_port":"10.0.0.1:8","cell":1,"size":1.0})";
  const std::string without = R"({"id":"b","phase":"up","host_port":"10.0.0.1:8","size":1.0})";
  const std::string text =
      R"({"id":"c","phase":"up","host_port":"10.0.0.1:8","cell":1,"size":1.0,"x":"1"})";
  const std::string other =
      R"({"id":"d","phase":"up","host_port":"10.0.0.1:8","cell":1,"size":1.0,"x":1})";
  const auto check = [](const std::string& was, const std::string& is) {
    check_keys_kept(read(file(was)).tree, read(file(is), KnownMembers::kCheckOnly).tree);
  };
  const auto many = [](const std::string& member, const std::string& last) {
    std::string out;
    for (int i = 0; i < 100; ++i) {
      out += member + ",";
    }
    return out + last;
  };
  EXPECT_ANY_THROW(check(with, many(with, without)));
  EXPECT_ANY_THROW(check(many(with, with), without));
  EXPECT_NO_THROW(check(many(with, without), without));
  EXPECT_NO_THROW(check(without, with));
  EXPECT_ANY_THROW(check(many(text, text), many(text, other)));
  EXPECT_NO_THROW(check(many(text, with), many(text, other)));
}

TEST(ProcessOfManyServers, StartAndSighupStayWithinTheirMemory) {
  // Guards against a tree of the known list: 401 MB at the start, 644 MB at SIGHUP.
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  const std::string text = config(port, server, discovery, "", fleet(170'000));
  Process p(text);
  ASSERT_NE(p.log_until("ready").find("ready"), std::string::npos);
  const std::size_t read = memory_of(p.id(), "VmHWM");
  EXPECT_LT(read, kMemoryFactor * 80 << 20);
  ASSERT_TRUE(until(io, [&] {
    Client c(io, {asio::ip::address_v4::loopback(), port});
    c.send("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
    const auto answer = c.receive();
    return answer && answer->result_int() == 200;
  }));
  const std::size_t started = memory_of(p.id(), "VmHWM");
  p.hang_up();
  ASSERT_NE(p.log_until("reloaded").find("reloaded"), std::string::npos);
  const std::size_t reloaded = memory_of(p.id(), "VmHWM");
  std::cout << "170000 servers in a file of " << text.size() << " bytes: peak " << (read >> 20)
            << " MiB when it is read, " << (started >> 20) << " MiB in force, " << (reloaded >> 20)
            << " MiB after SIGHUP\n";
  EXPECT_LT(reloaded, kMemoryFactor * 256 << 20);
}

TEST(ProcessOfManyServers, ABrokenMemberAnywhereTurnsTheFileDown) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  const std::string members = fleet(20'000);
  Process p(config(port, server, discovery, "", members));
  ASSERT_NE(p.log_until("ready").find("ready"), std::string::npos);
  const auto edited = [&](const std::string& from, const std::string& to) {
    std::string text = members;
    return text.replace(text.rfind(from), from.size(), to);
  };
  for (const std::string& broken :
       {edited(R"("cell":31,)", ""), edited(R"("size":1.0)", R"("size":"1.0")"),
        edited(R"("phase":"up")", R"("phase":"odd")"), edited(R"("id":)", R"("name":)")}) {
    p.configure(config(port, server, discovery, "", broken));
    p.hang_up();
    ASSERT_NE(p.log_until("configuration").find("kept"), std::string::npos);
  }
  p.configure(config(port, server, discovery, "", members));
  p.hang_up();
  ASSERT_NE(p.log_until("configuration").find("reloaded"), std::string::npos);
}

}  // namespace
}  // namespace quota_gateway::net::testing
