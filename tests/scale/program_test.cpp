// The program's arguments: bad input is a clear error with exit code 2, before anything starts.
#include <gtest/gtest.h>
#include <stdio.h>
#include <sys/wait.h>

#include <fstream>
#include <string>

namespace quota_gateway::scale {
namespace {

struct Ended {
  int code = -1;
  std::string said;  // on both outputs
};

Ended program(const std::string& arguments) {
  Ended ended;
  FILE* pipe =
      ::popen((std::string(QUOTA_GATEWAY_SCALE_PROGRAM) + " " + arguments + " 2>&1").c_str(), "r");
  if (!pipe) {
    return ended;
  }
  char piece[4096];
  while (const std::size_t n = ::fread(piece, 1, sizeof piece, pipe)) {
    ended.said.append(piece, n);
  }
  const int status = ::pclose(pipe);
  ended.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return ended;
}

TEST(Program, BadInputIsAClearErrorWithExitCode2) {
  const std::pair<std::string, std::string> bad[] = {
      {"", "subcommand"},
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
      {"run --nosuch", "--nosuch"}};
  for (const auto& [arguments, what] : bad) {
    const Ended ended = program(arguments);
    EXPECT_EQ(ended.code, 2) << arguments << ": " << ended.said;
    EXPECT_NE(ended.said.find(what), std::string::npos) << arguments << ": " << ended.said;
  }
}

TEST(Program, ASizeThatWouldPassHalfOfTheMemoryStartsNothing) {
  const Ended ended = program("run module.list --servers 4000000000");
  EXPECT_EQ(ended.code, 2);
  EXPECT_NE(ended.said.find("half of this machine's memory"), std::string::npos) << ended.said;
  EXPECT_EQ(ended.said.find("module.list: "), std::string::npos) << ended.said;
}

TEST(Program, ASizePastTheDescriptorsStartsNothing) {
  // Or past the memory, where a process may have that many.
  const Ended ended = program("run fleet.calls --gateways 4000000");
  EXPECT_EQ(ended.code, 2);
  EXPECT_NE(ended.said.find("fleet.calls"), std::string::npos) << ended.said;
}

TEST(Program, TellsItsVersionItsHelpAndItsScenarios) {
  EXPECT_EQ(program("--version").code, 0);
  EXPECT_EQ(program("--help").code, 0);
  EXPECT_EQ(program("run --help").code, 0);
  const Ended list = program("list");
  EXPECT_EQ(list.code, 0);
  EXPECT_NE(list.said.find("module.request: "), std::string::npos) << list.said;
}

TEST(Program, PrintsTheSeedThatRepeatsIt) {
  const Ended ended = program("run --small --seed 77 module.list");
  EXPECT_EQ(ended.code, 0) << ended.said;
  EXPECT_NE(ended.said.find("seed 77"), std::string::npos) << ended.said;
}

}  // namespace
}  // namespace quota_gateway::scale
