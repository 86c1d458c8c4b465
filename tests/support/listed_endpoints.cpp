#include "support/listed_endpoints.hpp"

namespace quota_gateway::net::testing {

std::string prefixed_number(std::string prefix, int number) {
  return prefix.append(std::to_string(number));
}

ListedEndpoint listed_endpoint(const std::string& id, const Listener& server, std::int64_t cell) {
  ListedEndpoint endpoint;
  endpoint.entry.server = id;
  endpoint.entry.zone = "a";
  endpoint.entry.cell = cell;
  endpoint.address = server.address();
  return endpoint;
}

std::string entry_json(const std::string& id, const std::string& host_port,
                       const std::string& phase, std::int64_t up_since) {
  return R"({"id":")" + id + R"(","host_port":")" + host_port +
         R"(","locality":"a","flavor":"m","cell":1,"phase":")" + phase +
         R"(","size":1.0,"up_since_ms":)" + std::to_string(up_since) + "}";
}

std::string list_json(std::int64_t revision, bool complete, const std::string& entries) {
  return R"({"revision":)" + std::to_string(revision) + R"(,"complete":)" +
         (complete ? "true" : "false") + R"(,"members":[)" + entries + "]}\n";
}

}  // namespace quota_gateway::net::testing
