// Reads a gateway's configuration file, in which the list of endpoints may be far larger than all
// the rest: 170,000 of them as a JSON tree took 400 MB. So the file is read in chunks, and the
// endpoints never become part of a tree.
//
// main.cpp owns a loader while it reads the file, at the start at once and at SIGHUP a chunk at a
// time between other work. parse_config() then reads the tree.
#pragma once

#include <istream>
#include <nlohmann/json.hpp>
#include <string>

#include "net/discovery/endpoint_list_parser.hpp"

namespace quota_gateway::net {

struct ConfigFile {
  // All of the file, but for the members of `known`: of these, one of each shape, which is its keys
  // and the kinds of their values. So check_keys_kept() can compare two files.
  nlohmann::json tree;
  // The file's list of endpoints under `known`. Without members if they were only checked.
  EndpointList known_endpoints;
};

class ConfigLoader {
 public:
  enum class EndpointRetention {
    kKeep,
    kCheckOnly,  // for a file whose endpoints are not used, as at SIGHUP
  };

  // `file` must outlive the loader.
  ConfigLoader(std::istream& file, EndpointRetention endpoint_retention);

  // Reads and parses the next chunk, which takes about a millisecond. False: the end of the file
  // was reached before. Throws ConfigError or another std::exception with a message of one line.
  bool parse_chunk();
  // Call it once, after parse_chunk() returned false. Throws as that does.
  ConfigFile finish();

 private:
  std::istream& file_;
  EndpointListParser parser_;
  std::string chunk_;
};

}  // namespace quota_gateway::net
