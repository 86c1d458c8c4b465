#include "net/config/config_loader.hpp"

#include <cstddef>
#include <string_view>

#include "net/config/config_error.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::size_t kChunkSize = 32 << 10;

EndpointListParser::Retain parser_retention(ConfigLoader::EndpointRetention endpoint_retention) {
  return endpoint_retention == ConfigLoader::EndpointRetention::kKeep
             ? EndpointListParser::Retain::kEndpointsAndSamples
             : EndpointListParser::Retain::kSamplesOnly;
}

}  // namespace

ConfigLoader::ConfigLoader(std::istream& file, EndpointRetention endpoint_retention)
    : file_(file),
      parser_({"known", "members"}, {}, parser_retention(endpoint_retention)),
      chunk_(kChunkSize, '\0') {}

bool ConfigLoader::parse_chunk() {
  file_.read(chunk_.data(), std::streamsize(chunk_.size()));
  const std::string_view text(chunk_.data(), std::size_t(file_.gcount()));
  const std::size_t parsed = parser_.parse_chunk(text);
  if (text.find_first_not_of(" \t\r\n", parsed) != std::string_view::npos) {
    throw ConfigError("", "text after the end of the JSON object");
  }
  return !text.empty();
}

ConfigFile ConfigLoader::finish() {
  if (!parser_.is_done()) {
    throw ConfigError("", "the JSON object is incomplete");
  }
  ConfigFile file;
  file.tree = parser_.surrounding_json();
  if (file.tree.contains("known") && !file.tree["known"].is_null()) {
    file.known_endpoints = parser_.take_list(file.tree["known"]);
  }
  return file;
}

}  // namespace quota_gateway::net
