// Tests of parse_resp_command(), which splits the input of the fake counter into commands.
#include "resp_command.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace quota_gateway::scale {
namespace {

using Status = RespCommand::Status;
using Words = std::vector<std::string_view>;

TEST(RespCommandTest, ReadsTheFirstCommandAndItsSize) {
  const std::string command = "*2\r\n$3\r\nGET\r\n$1\r\nn\r\n";
  const std::string received = command + "*1\r\n$4\r\nPING\r\n";
  const RespCommand parsed = parse_resp_command(received);
  ASSERT_EQ(parsed.status, Status::kComplete);
  EXPECT_EQ(parsed.words, (Words{"GET", "n"}));
  EXPECT_EQ(parsed.size, command.size());
}

TEST(RespCommandTest, WordsMayBeEmptyAndContainLineEnds) {
  const RespCommand parsed = parse_resp_command("*2\r\n$0\r\n\r\n$4\r\na\r\nb\r\n");
  ASSERT_EQ(parsed.status, Status::kComplete);
  EXPECT_EQ(parsed.words, (Words{"", "a\r\nb"}));
}

TEST(RespCommandTest, EachPrefixOfACommandIsIncomplete) {
  const std::string command = "*2\r\n$3\r\nGET\r\n$1\r\nn\r\n";
  for (std::size_t size = 0; size < command.size(); ++size) {
    EXPECT_EQ(parse_resp_command(command.substr(0, size)).status, Status::kIncomplete) << size;
  }
}

TEST(RespCommandTest, AnythingButArraysOfBulkStringsIsMalformed) {
  for (const std::string_view received :
       {"\r\n", "PING\r\n", "+OK\r\n", "*-1\r\n", "*x\r\n", "*16385\r\n", "*1\r\n:1\r\n",
        "*1\r\n$-1\r\n", "*1\r\n$16385\r\n"}) {
    EXPECT_EQ(parse_resp_command(received).status, Status::kMalformed) << received;
  }
}

}  // namespace
}  // namespace quota_gateway::scale
