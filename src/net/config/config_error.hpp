// The error that describes an invalid configuration file.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace quota_gateway::net {

// what() is one line for the log: "configuration: KEY: PROBLEM".
class ConfigError : public std::runtime_error {
 public:
  // `key`: path of the invalid value, such as "limits.sockets"; empty if the error concerns the
  // complete file.
  ConfigError(std::string key, const std::string& problem)
      : std::runtime_error("configuration: " + (key.empty() ? "" : key + ": ") + problem),
        key_(std::move(key)) {}

  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

}  // namespace quota_gateway::net
