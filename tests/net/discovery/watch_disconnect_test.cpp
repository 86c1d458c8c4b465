// Tests the consequences of the end of a watch for the next request and for a list in progress.
#include "net/discovery/watch_disconnect.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

using Reason = WatchDisconnectReason;

TEST(WatchDisconnect, ACompleteListIsNeededWhereChangesMayHaveBeenMissed) {
  for (const Reason reason :
       {Reason::kAgentChanged, Reason::kRequestRejected, Reason::kInvalidResponse,
        Reason::kListTooLarge, Reason::kListUnfinished}) {
    EXPECT_TRUE(needs_complete_list(reason)) << int(reason);
  }
  for (const Reason reason : {Reason::kConnectionFailed, Reason::kSilent, Reason::kWatchEnded}) {
    EXPECT_FALSE(needs_complete_list(reason)) << int(reason);
  }
}

TEST(WatchDisconnect, AListCutOffByADisconnectionCountsAsMalformed) {
  EXPECT_EQ(list_failure(Reason::kListTooLarge), ListFailure::kTooLarge);
  EXPECT_EQ(list_failure(Reason::kListUnfinished), ListFailure::kUnfinished);
  EXPECT_EQ(list_failure(Reason::kConnectionFailed), ListFailure::kMalformed);
  EXPECT_EQ(list_failure(Reason::kInvalidResponse), ListFailure::kMalformed);
}

}  // namespace
}  // namespace quota_gateway::net::testing
