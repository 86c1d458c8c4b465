// Reads a gateway's configuration, in which the list of servers may be far larger than all the
// rest.
#pragma once

#include <istream>
#include <nlohmann/json.hpp>

#include "net/config/gateway_config.hpp"
#include "net/discovery/endpoint_list_parser.hpp"

namespace quota_gateway::net {

struct ConfigFile {
  nlohmann::json tree;  // of the members of `known`, one of each shape: of keys and kinds of values
  EndpointList known;
};

enum class KnownMembers { kKeep, kCheckOnly };

// Reads a file piece by piece, without a tree of the members of `known`: of 170,000 it took 400 MB.
// All of this throws std::exception with a message of one line.
class ConfigLoader {
 public:
  enum class KnownMembers { kKeep, kCheckOnly };
  ConfigLoader(std::istream& file, KnownMembers known);
  // Reads on for about a millisecond. False: that was all.
  bool parse_chunk();
  // Once all is read.
  ConfigFile finish();

 private:
  std::istream& file_;
  EndpointListParser reader_;
  std::string piece_;
};
// All but `known`.
GatewayConfig parse_config(const nlohmann::json& tree);
// Throws if a key that `was` had is missing. Most have a value to fall back on, which is right for
// a gateway that never knew them, but not what the writer of a changed file meant.
void check_keys_kept(const nlohmann::json& was, const nlohmann::json& is);

}  // namespace quota_gateway::net
