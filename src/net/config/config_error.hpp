// What is wrong with a configuration file.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace quota_gateway::net {

// what() is one line for the log: "configuration: KEY: PROBLEM".
class ConfigError : public std::runtime_error {
 public:
  // `key`: the path of the value at fault, such as "limits.sockets"; empty: the file as a whole.
  ConfigError(std::string key, const std::string& problem)
      : std::runtime_error("configuration: " + (key.empty() ? "" : key + ": ") + problem),
        key_(std::move(key)) {}

  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

}  // namespace quota_gateway::net
