#include "simulator/simulator_session.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::simulator {
namespace {

TEST(SimulatorSession, RepliesToAnEmptyBatchWithAnEmptyReply) {
  SimulatorSession session;
  EXPECT_EQ(session.process_line(R"({"ClockUs":1,"parts":[]})"), R"({"parts":[]})");
}

TEST(SimulatorSession, ThrowsOnMalformedMessages) {
  SimulatorSession session;
  EXPECT_ANY_THROW(session.process_line("[]"));
  EXPECT_ANY_THROW(session.process_line("{"));
  EXPECT_ANY_THROW(session.process_line(
      R"({"ClockUs":1,"parts":[{"Who":"gateway-0","input":[{"what":"Knock"}]}]})"));
  EXPECT_ANY_THROW(session.process_line(
      R"({"ClockUs":1,"parts":[{"Who":"g","input":[{"what":"Response","Id":"t/a","Go":0,"Disposition":"?"}]}]})"));
}

TEST(SimulatorSession, ResolvesListReferencesAndRemovesAKilledInstance) {
  SimulatorSession session;
  EXPECT_FALSE(
      session.process_line(R"({"what":"Pool","List":0,"Entries":[{"Server":"s1"}]})").has_value());
  const std::string reply = session
                                .process_line(R"({"ClockUs":1,"parts":[{"Who":"gateway-0","input":[
    {"what":"Enlist","Entropy":5,"Info":{}},{"what":"DirectoryUpdate","Kind":"Persisted","SeqNo":1,"List":0},
    {"what":"Knock","Id":"t/a","GiveUpAtUs":2000000,"Member":"m"}]}]})")
                                .value();
  EXPECT_NE(reply.find(R"("Server":"s1")"), std::string::npos);
  EXPECT_EQ(session.process_line(
                R"({"ClockUs":2,"parts":[{"Who":"gateway-0","input":[{"what":"Kill"}]}]})"),
            R"({"parts":[]})");
}

}  // namespace
}  // namespace quota_gateway::simulator
