// Tests what ConnectionReusePolicy concludes from the evidence about server processes, and which
// responses ResponseFingerprint takes for equal.
#include "net/upstream/connection_reuse_policy.hpp"

#include <gtest/gtest.h>

#include <string>

#include "net/upstream/response_fingerprint.hpp"

namespace quota_gateway::net::testing {
namespace {

const ServerProcess kProcess{"s", 10};
const ServerProcess kLaterProcess{"s", 20};

TEST(ConnectionReusePolicyTest, UnsolicitedBytesEndTheReuseForTheProcessAlone) {
  ConnectionReusePolicy policy;
  EXPECT_TRUE(policy.may_reuse(kProcess));
  policy.on_unsolicited_bytes(kProcess);
  EXPECT_FALSE(policy.may_reuse(kProcess));
  EXPECT_TRUE(policy.may_reuse(kLaterProcess));
  EXPECT_TRUE(policy.may_reuse({"other", 10}));
}

TEST(ConnectionReusePolicyTest, BytesOfAnEarlierProcessSayNothingAboutALaterOne) {
  ConnectionReusePolicy policy;
  policy.on_unsolicited_bytes(kLaterProcess);
  policy.on_unsolicited_bytes(kProcess);
  EXPECT_FALSE(policy.may_reuse(kLaterProcess));
  ConnectionReusePolicy other;
  EXPECT_TRUE(other.begin_observation(kLaterProcess));
  other.on_unsolicited_bytes(kProcess);
  EXPECT_TRUE(other.may_reuse(kLaterProcess));
}

// Guards against connections to a sound server that stay out of use because it responds alike.
TEST(ConnectionReusePolicyTest, AServerThatRespondsAlikeIsObservedOnce) {
  ConnectionReusePolicy policy;
  ASSERT_TRUE(policy.begin_observation(kProcess));
  policy.end_observation(kProcess, false);  // cut short
  ASSERT_TRUE(policy.begin_observation(kProcess));
  policy.end_observation(kProcess, true);
  EXPECT_FALSE(policy.begin_observation(kProcess));
  EXPECT_TRUE(policy.begin_observation(kLaterProcess));
}

TEST(ConnectionReusePolicyTest, FewConnectionsToAServerAreObservedAtATime) {
  ConnectionReusePolicy policy;
  int observed = 0;
  while (observed < 100 && policy.begin_observation(kProcess)) {
    ++observed;
  }
  EXPECT_EQ(observed, 4);
  policy.end_observation(kProcess, false);
  EXPECT_TRUE(policy.begin_observation(kProcess));
}

TEST(ResponseFingerprintTest, DoesNotDependOnThePieces) {
  const std::string response(10'000, 'x');
  ResponseFingerprint whole;
  whole.add(response);
  ResponseFingerprint pieces;
  for (std::size_t at = 0; at < response.size(); at += 3'000) {
    pieces.add(response.substr(at, 3'000));
  }
  EXPECT_EQ(whole, pieces);
}

TEST(ResponseFingerprintTest, DiffersByBytesAndBySize) {
  ResponseFingerprint first;
  first.add("response 1");
  ResponseFingerprint second;
  second.add("response 2");
  EXPECT_NE(first, second);
  second = first;
  second.add("!");
  EXPECT_NE(first, second);
  EXPECT_TRUE(ResponseFingerprint().is_empty());
}

}  // namespace
}  // namespace quota_gateway::net::testing
