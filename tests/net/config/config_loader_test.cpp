// Tests ConfigLoader and check_keys_kept() with endpoint lists of various sizes, and the gateway
// program with large configuration files.
#include "net/config/config_loader.hpp"

#include <gtest/gtest.h>

#include <sstream>

#include "net/config/config_key_check.hpp"
#include "support/gateway_process.hpp"
#include "support/gateway_test_bed.hpp"
#include "support/resource_usage.hpp"

namespace quota_gateway::net::testing {
namespace {

using EndpointRetention = ConfigLoader::EndpointRetention;

ConfigFile load(const std::string& text, EndpointRetention retention = EndpointRetention::kKeep) {
  std::istringstream file(text);
  ConfigLoader loader(file, retention);
  while (loader.parse_chunk()) {
  }
  return loader.finish();
}

std::string file(const std::string& members, const std::string& more = "") {
  return R"({"name":"n0",)" + more + R"("known":{"revision":41,"complete":true,"members":[)" +
         members + R"(]},"settings":{"members":[{"Name":"x"}]}})";
}

TEST(ConfigLoader, KeepsAllEndpointsAndOneSamplePerShapeInTheTree) {
  const ConfigFile loaded = load(file(endpoint_entries_json(1000)));
  EXPECT_EQ(loaded.known_endpoints.revision, 41);
  EXPECT_TRUE(loaded.known_endpoints.complete);
  EXPECT_EQ(loaded.known_endpoints.endpoints.size(), 1000U);
  EXPECT_EQ(loaded.tree["known"]["members"].size(), 1U);
  EXPECT_EQ(loaded.tree["settings"]["members"].size(), 1U);
  const auto checked = load(file(endpoint_entries_json(1000)), EndpointRetention::kCheckOnly);
  EXPECT_EQ(checked.tree, loaded.tree);
  EXPECT_TRUE(checked.known_endpoints.endpoints.empty());
  for (const char* without_list : {R"({"name":"n0"})", R"({"known":null})"}) {
    EXPECT_EQ(load(without_list).known_endpoints.revision, 0);
  }
}

TEST(ConfigLoader, ThrowsOnMalformedFilesEvenIfEndpointsAreOnlyChecked) {
  const std::string complete = file(endpoint_entries_json(1000));
  const auto edited = [&](const std::string& from, const std::string& replacement) {
    std::string text = complete;
    return text.replace(text.rfind(from), from.size(), replacement);
  };
  for (const std::string& text :
       {std::string(), std::string("[]"), complete + "x", complete.substr(0, complete.size() - 1),
        complete.substr(0, complete.size() / 2), edited(R"("phase":"up")", R"("phase":"odd")"),
        edited(R"("phase":"up",)", ""), edited(":8081", ""), edited(R"("revision":41,)", ""),
        edited(R"("size":1.0)", R"("size":)")}) {
    for (const EndpointRetention retention :
         {EndpointRetention::kKeep, EndpointRetention::kCheckOnly}) {
      EXPECT_ANY_THROW(load(text, retention));
    }
  }
}

TEST(ConfigKeyCheck, AnEndpointWithoutAKeyThatAllEndpointsHadIsRejected) {
  // All endpoints are checked, not only the first. A key that only some endpoints had is optional.
  const std::string with_cell =
      R"({"id":"a","phase":"up","host_port":"10.0.0.1:8","cell":1,"size":1.0})";
  const std::string without_cell = R"({"id":"b","phase":"up","host_port":"10.0.0.1:8","size":1.0})";
  const std::string with_text =
      R"({"id":"c","phase":"up","host_port":"10.0.0.1:8","cell":1,"size":1.0,"x":"1"})";
  const std::string with_number =
      R"({"id":"d","phase":"up","host_port":"10.0.0.1:8","cell":1,"size":1.0,"x":1})";
  const auto check = [](const std::string& previous, const std::string& current) {
    check_keys_kept(load(file(previous)).tree,
                    load(file(current), EndpointRetention::kCheckOnly).tree);
  };
  const auto many = [](const std::string& member, const std::string& last) {
    std::string members;
    for (int i = 0; i < 100; ++i) {
      members += member + ",";
    }
    return members + last;
  };
  EXPECT_ANY_THROW(check(with_cell, many(with_cell, without_cell)));
  EXPECT_ANY_THROW(check(many(with_cell, with_cell), without_cell));
  EXPECT_NO_THROW(check(many(with_cell, without_cell), without_cell));
  EXPECT_NO_THROW(check(without_cell, with_cell));
  EXPECT_ANY_THROW(check(many(with_text, with_text), many(with_text, with_number)));
  EXPECT_NO_THROW(check(many(with_text, with_cell), many(with_text, with_number)));
}

TEST(GatewayWithManyEndpoints, StartAndReloadStayWithinTheirMemory) {
  // With section `known` as a JSON tree, the program took 401 MB at startup and 644 MB at SIGHUP.
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  const std::string text = config_json(port, server, discovery, "", endpoint_entries_json(170'000));
  Process process(text);
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  const std::size_t after_parsing = process_memory_bytes(process.process_id(), "VmHWM");
  EXPECT_LT(after_parsing, kSanitizerMemoryFactor * 80 << 20);
  ASSERT_TRUE(run_until(io, [&] {
    Client client(io, {asio::ip::address_v4::loopback(), port});
    client.send("GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
    const auto response = client.receive();
    return response && response->result_int() == 200;
  }));
  const std::size_t in_service = process_memory_bytes(process.process_id(), "VmHWM");
  process.request_reload();
  ASSERT_NE(process.read_log_until("reloaded").find("reloaded"), std::string::npos);
  const std::size_t after_reload = process_memory_bytes(process.process_id(), "VmHWM");
  std::cout << "170000 endpoints in a file of " << text.size() << " bytes: peak memory "
            << (after_parsing >> 20) << " MiB after reading, " << (in_service >> 20)
            << " MiB in service, " << (after_reload >> 20) << " MiB after SIGHUP\n";
  EXPECT_LT(after_reload, kSanitizerMemoryFactor * 256 << 20);
}

TEST(GatewayWithManyEndpoints, RejectsAReloadWithAMalformedEndpointAnywhere) {
  asio::io_context io;
  FakeServer server(io);
  FakeDiscovery discovery(io);
  const auto port = free_port(io);
  const std::string members = endpoint_entries_json(20'000);
  Process process(config_json(port, server, discovery, "", members));
  ASSERT_NE(process.read_log_until("ready").find("ready"), std::string::npos);
  const auto edited = [&](const std::string& from, const std::string& replacement) {
    std::string text = members;
    return text.replace(text.rfind(from), from.size(), replacement);
  };
  for (const std::string& broken :
       {edited(R"("cell":31,)", ""), edited(R"("size":1.0)", R"("size":"1.0")"),
        edited(R"("phase":"up")", R"("phase":"odd")"), edited(R"("id":)", R"("name":)")}) {
    process.write_configuration(config_json(port, server, discovery, "", broken));
    process.request_reload();
    ASSERT_NE(process.read_log_until("configuration").find("reload failed"), std::string::npos);
  }
  process.write_configuration(config_json(port, server, discovery, "", members));
  process.request_reload();
  ASSERT_NE(process.read_log_until("configuration").find("reloaded"), std::string::npos);
}

}  // namespace
}  // namespace quota_gateway::net::testing
