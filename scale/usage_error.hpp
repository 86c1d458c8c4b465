// Input that no measurement can be started with, and the program's exit codes.
#pragma once

#include <stdexcept>

namespace quota_gateway::scale {

enum class ExitCode {
  kSuccess = 0,
  kFailed = 1,   // a scenario failed, or the program itself
  kBadInput = 2  // nothing was started
};

// The message is for the operator: it names the argument or scenario and what is wrong with it.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace quota_gateway::scale
