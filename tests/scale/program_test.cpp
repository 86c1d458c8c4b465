// Tests of the program's arguments: invalid input gives a clear error and exit code 2 before
// anything starts.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <string>

namespace quota_gateway::scale {
namespace {

constexpr int kSuccess = 0;
constexpr int kBadInput = 2;

struct ProgramResult {
  int exit_code = -1;
  std::string output;  // of both streams
};

std::string read_all(FILE* stream) {
  std::string text;
  std::array<char, 4096> buffer{};
  std::size_t size = std::fread(buffer.data(), 1, buffer.size(), stream);
  while (size > 0) {
    text.append(buffer.data(), size);
    size = std::fread(buffer.data(), 1, buffer.size(), stream);
  }
  return text;
}

ProgramResult run_program(const std::string& arguments) {
  const std::string command = std::string(QUOTA_GATEWAY_SCALE_PROGRAM) + " " + arguments + " 2>&1";
  FILE* stream = ::popen(command.c_str(), "r");
  if (stream == nullptr) {
    return {};
  }
  ProgramResult result;
  result.output = read_all(stream);
  const int status = ::pclose(stream);
  if (WIFEXITED(status)) {
    result.exit_code = WEXITSTATUS(status);
  }
  return result;
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(Program, InvalidInputIsAClearErrorWithExitCode2) {
  struct Case {
    std::string arguments;
    std::string expected_text;  // in the error
  };
  const std::array<Case, 19> cases = {{{"", "subcommand"},
                                       {"walk", "subcommand"},
                                       {"run nosuch", "unknown scenario 'nosuch'"},
                                       {"run module.list nosuch", "unknown scenario 'nosuch'"},
                                       {"run ''", "unknown scenario"},
                                       {"run --seed x", "--seed"},
                                       {"run --seed -1", "--seed"},
                                       {"run --seed 1.5", "--seed"},
                                       {"run --servers 0", "--servers"},
                                       {"run --servers -5", "--servers"},
                                       {"run --servers 1e99", "--servers"},
                                       {"run --gateways many", "--gateways"},
                                       {"run --seconds -1", "--seconds"},
                                       {"run --seconds 0", "--seconds"},
                                       {"run --seconds nan", "--seconds"},
                                       {"run --seconds 1e9", "--seconds"},
                                       {"run --gateway /no/such/program", "--gateway"},
                                       {"run module.list --json /no/such/folder/file", "--json"},
                                       {"run --nosuch", "--nosuch"}}};
  for (const Case& bad : cases) {
    const ProgramResult result = run_program(bad.arguments);
    EXPECT_EQ(result.exit_code, kBadInput) << bad.arguments << ": " << result.output;
    EXPECT_TRUE(contains(result.output, bad.expected_text))
        << bad.arguments << ": " << result.output;
  }
}

TEST(Program, ASizeOverHalfOfTheMemoryStartsNothing) {
  const ProgramResult result = run_program("run module.list --servers 4000000000");
  EXPECT_EQ(result.exit_code, kBadInput);
  EXPECT_TRUE(contains(result.output, "half of this machine's memory")) << result.output;
  EXPECT_FALSE(contains(result.output, "module.list: ")) << result.output;
}

TEST(Program, ASizeOverTheDescriptorLimitStartsNothing) {
  // If a process may have that many descriptors, the size exceeds the memory instead.
  const ProgramResult result = run_program("run fleet.calls --gateways 4000000");
  EXPECT_EQ(result.exit_code, kBadInput);
  EXPECT_TRUE(contains(result.output, "fleet.calls")) << result.output;
}

TEST(Program, PrintsItsVersionItsHelpAndItsScenarios) {
  EXPECT_EQ(run_program("--version").exit_code, kSuccess);
  EXPECT_EQ(run_program("--help").exit_code, kSuccess);
  EXPECT_EQ(run_program("run --help").exit_code, kSuccess);
  const ProgramResult list = run_program("list");
  EXPECT_EQ(list.exit_code, kSuccess);
  EXPECT_TRUE(contains(list.output, "module.request: ")) << list.output;
}

TEST(Program, PrintsItsSeed) {
  const ProgramResult result = run_program("run --small --seed 77 module.list");
  EXPECT_EQ(result.exit_code, kSuccess) << result.output;
  EXPECT_TRUE(contains(result.output, "seed 77")) << result.output;
}

}  // namespace
}  // namespace quota_gateway::scale
