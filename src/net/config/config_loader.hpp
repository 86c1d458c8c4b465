// Reads a gateway's configuration file. Its list of endpoints can be far larger than the rest of
// the file: as a JSON tree, 170,000 endpoints took 400 MB. Therefore the file is read in chunks,
// and only samples of the endpoints become part of the JSON tree.
//
// At startup the complete file is read in one step. At SIGHUP, ConfigReloader reads one chunk at a
// time between other work. parse_config() then reads the tree.
#pragma once

#include <istream>
#include <nlohmann/json.hpp>
#include <string>

#include "net/discovery/endpoint_list_parser.hpp"

namespace quota_gateway::net {

struct ConfigFile {
  // The complete file, except that the array `known.members` contains only one endpoint of each
  // shape (see ParsedEndpointEntry). These samples allow check_keys_kept() to compare two files.
  nlohmann::json tree;
  // The endpoint list in section `known` of the file. It has no endpoints if these were only
  // checked.
  EndpointList known_endpoints;
};

class ConfigLoader {
 public:
  enum class EndpointRetention {
    kKeep,
    kCheckOnly,  // for a file from which the endpoints are not needed, as at SIGHUP
  };

  // `file` must outlive the loader.
  ConfigLoader(std::istream& file, EndpointRetention endpoint_retention);

  // Reads and parses the next chunk, which takes about a millisecond. Returns false if there was no
  // more text to read. Throws ConfigError or another std::exception with a one-line message.
  bool parse_chunk();
  // Call it once, after parse_chunk() has returned false. Throws the same exceptions.
  ConfigFile finish();

 private:
  std::istream& file_;
  EndpointListParser parser_;
  std::string chunk_;
};

}  // namespace quota_gateway::net
