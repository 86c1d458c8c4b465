// The error for input with which no measurement can start, and the program's exit codes.
#pragma once

#include <stdexcept>

namespace quota_gateway::scale {

// Exit codes of the program.
enum class ExitCode {
  kSuccess = 0,
  kFailed = 1,   // a scenario or the program itself failed
  kBadInput = 2  // invalid arguments; no scenario was started
};

// Reports invalid input to the operator. The message names the argument or scenario and the problem
// with it.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace quota_gateway::scale
