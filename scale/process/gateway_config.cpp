#include "process/gateway_config.hpp"

namespace quota_gateway::scale {
namespace {

constexpr Micros kLatencyObjective = 3'000'000;  // us, of all classes except the last

std::string class_name(std::size_t index) {
  return index == 0 ? "read" : "route-" + std::to_string(index);
}

std::string render_class(const std::string& name, Micros objective) {
  return R"({"Name":")" + name + R"(","Repeat":"safe","ObjectiveUs":)" + std::to_string(objective) +
         R"(,"GiveUpUs":4000000,"Importance":1.0,"LateValue":0.5})";
}

std::string render_classes(const GatewayConfigOptions& options) {
  std::string text;
  for (std::size_t i = 0; i < options.class_count; ++i) {
    if (i > 0) {
      text += ",";
    }
    const bool is_last = i + 1 == options.class_count;
    text += render_class(class_name(i), is_last ? options.last_class_objective : kLatencyObjective);
  }
  return text;
}

std::string render_settings(const GatewayConfigOptions& options) {
  return R"({"Az":"a","ReplicasOfMe":)" + std::to_string(options.gateway_count) +
         R"(,"Position":0,"Classes":[)" + render_classes(options) +
         R"(],"TiersOfService":[{"Name":"plan","QuotaRate":1000000,"Depth":1000000}],)"
         R"("Extra":{"SharedCounter":)" +
         (options.counter_address ? "true" : "false") +
         R"(},"Limits":{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true}})";
}

}  // namespace

std::string render_gateway_config(const GatewayConfigOptions& options,
                                  const std::string& listen_address) {
  std::string text = R"({"name":"n0","listen":")" + listen_address + R"(","discovery":")" +
                     options.discovery_address +
                     R"(","seed":"8c1f30d27a5be964",)"
                     R"("limits":{"cores":1.0,"memory_mb":256,"sockets":1024},)";
  if (options.counter_address) {
    text += R"("counter":")" + *options.counter_address + R"(",)";
  }
  if (options.known_list) {
    text += R"("known":)" + *options.known_list + ",";
  }
  return text + R"("settings":)" + render_settings(options) + "}";
}

}  // namespace quota_gateway::scale
