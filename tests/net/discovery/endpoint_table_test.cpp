// The endpoints in force: what a list changes, in slices, and which of two lists counts.
#include "net/discovery/endpoint_table.hpp"

#include <gtest/gtest.h>
#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <set>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr double kSlowdown = 10;  // than the program in service
#else
constexpr double kSlowdown = 1;
#endif
constexpr int kFleetSize = 170'000;  // endpoints, of which 24,000 are a zone

ListedEndpoint endpoint_at(const std::string& id, int place, Micros started_at = 0,
                           EndpointState state = EndpointState::kUp) {
  ListedEndpoint endpoint;
  endpoint.entry.server = id;
  endpoint.entry.zone = "a";
  endpoint.entry.started_at = started_at;
  endpoint.entry.state = state;
  endpoint.address = {asio::ip::address_v4(std::uint32_t(0x0a000000 + place)), 8081};
  return endpoint;
}
ListedEndpoint removed_endpoint(const std::string& id) {
  ListedEndpoint endpoint;
  endpoint.entry.server = id;
  endpoint.entry.state = EndpointState::kRemoved;
  return endpoint;
}
EndpointList partial_list(ListedEndpoints members) {
  return {0, false, std::move(members)};
}
EndpointList complete_list(ListedEndpoints members) {
  return {0, true, std::move(members)};
}
ListedEndpoints many_endpoints(int count) {
  ListedEndpoints out;
  for (int i = 0; i < count; ++i) {
    out.push_back(endpoint_at(label("s-", i), i, 1 + i));
  }
  return out;
}

// "+id" for an endpoint that is up, "~id" for a draining one and "-id" for a removed one.
std::string summary(const EndpointEntry& entry) {
  static constexpr const char* kSigns[] = {"+", "~", "-"};
  return std::string(kSigns[int(entry.state)]).append(entry.server);
}
using Summaries = std::vector<std::string>;

// Applies all lists.
EndpointChanges apply_all(EndpointTable& table) {
  EndpointChanges all;
  while (!table.is_idle()) {
    EndpointChanges applied = table.apply();
    std::move(applied.entries.begin(), applied.entries.end(), std::back_inserter(all.entries));
    std::move(applied.stale_connections.begin(), applied.stale_connections.end(),
              std::back_inserter(all.stale_connections));
    std::move(applied.replaced.begin(), applied.replaced.end(), std::back_inserter(all.replaced));
  }
  return all;
}
EndpointChanges apply_list(EndpointTable& table, EndpointList list) {
  table.enqueue(std::move(list));
  return apply_all(table);
}
Summaries reported(EndpointTable& table, EndpointList list) {
  Summaries out;
  for (const auto& entry : apply_list(table, std::move(list)).entries) {
    out.push_back(summary(entry));
  }
  return out;
}
double cpu_us() {
  timespec now;
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return double(now.tv_sec) * 1e6 + double(now.tv_nsec) * 1e-3;
}
// The least of some runs: other programs on the machine can only add to it.
template <typename Operation>
double least_cpu_us(int runs, const Operation& operation) {
  double least = INFINITY;
  for (int i = 0; i < runs; ++i) {
    const double began = cpu_us();
    operation();
    least = std::min(least, cpu_us() - began);
  }
  return least;
}

TEST(EndpointTable, ACompleteListReportsNewChangedAndRemovedEndpointsOnly) {
  EndpointTable table;
  EXPECT_EQ(reported(table, complete_list({endpoint_at("a", 1), endpoint_at("b", 2),
                                           endpoint_at("c", 3), endpoint_at("d", 4)})),
            (Summaries{"+a", "+b", "+c", "+d"}));
  ListedEndpoint heavier = endpoint_at("b", 2);
  heavier.entry.weight = 2;
  EXPECT_EQ(reported(table, complete_list({endpoint_at("a", 1), heavier, endpoint_at("e", 5),
                                           endpoint_at("d", 4, 0, EndpointState::kDraining)})),
            (Summaries{"~d", "-c", "+b", "+e"}));
  EXPECT_EQ(table.size(), 4U);
  EXPECT_EQ(table.up_count(), 3U);
  EXPECT_EQ(reported(table, complete_list({endpoint_at("d", 4, 0, EndpointState::kDraining),
                                           endpoint_at("e", 5), heavier, endpoint_at("a", 1)})),
            Summaries{});
  EXPECT_FALSE(table.find("c"));
  EXPECT_TRUE(table.find("a")->up);
  EXPECT_FALSE(table.find("d")->up);
}

TEST(EndpointTable, ReportsAChangeOfEachField) {
  EndpointTable table;
  apply_list(table, complete_list({endpoint_at("a", 1)}));
  std::vector<ListedEndpoint> changed(5, endpoint_at("a", 1));
  changed[0].entry.zone = "b";
  changed[1].entry.cell = 7;
  changed[2].entry.weight = 0.5;
  changed[3].entry.started_at = 9;
  changed[4].address.port(9);
  for (const ListedEndpoint& endpoint : changed) {
    EXPECT_EQ(reported(table, partial_list({endpoint})), Summaries{"+a"});
    EXPECT_EQ(reported(table, partial_list({endpoint})), Summaries{});
    EXPECT_EQ(reported(table, partial_list({endpoint_at("a", 1)})), Summaries{"+a"});
  }
}

TEST(EndpointTable, ConnectionsToMovedRestartedOrRemovedEndpointsAreStale) {
  EndpointTable table;
  apply_list(table, complete_list({endpoint_at("a", 1), endpoint_at("b", 2), endpoint_at("c", 3),
                                   endpoint_at("d", 4), endpoint_at("e", 5)}));
  const auto applied = apply_list(
      table, partial_list({endpoint_at("a", 11), endpoint_at("b", 2, 5), removed_endpoint("c"),
                           endpoint_at("d", 4, 0, EndpointState::kDraining)}));
  EXPECT_EQ(
      std::set<std::string>(applied.stale_connections.begin(), applied.stale_connections.end()),
      (std::set<std::string>{"a", "b", "c"}));
  EXPECT_TRUE(applied.replaced.empty());
  EXPECT_EQ(table.find("a")->address, endpoint_at("a", 11).address);
  EXPECT_EQ(table.find("b")->started_at, 5);
}

TEST(EndpointTable, AnEndpointAtTheAddressOfAnotherReplacesIt) {
  // Guards against requests to the old process that reach the new one, which may be warming up.
  EndpointTable table;
  apply_list(table, complete_list({endpoint_at("old", 1, 5), endpoint_at("moves", 2, 9)}));
  auto applied = apply_list(table, partial_list({endpoint_at("new", 1, 6)}));
  EXPECT_EQ(applied.replaced, Summaries{"old"});
  EXPECT_EQ(summary(applied.entries.at(0)), "-old");  // before the new one is added
  EXPECT_EQ(summary(applied.entries.at(1)), "+new");
  applied = apply_list(table, partial_list({endpoint_at("moves", 1, 9)}));
  EXPECT_EQ(applied.replaced, Summaries{"new"});
  EXPECT_EQ(table.size(), 1U);
  // One that started earlier than the one at the address is not there, whatever the list says.
  EXPECT_EQ(reported(table, partial_list({endpoint_at("late news", 1, 3)})), Summaries{});
  // Of equals the one listed last is at the address, even if unchanged.
  apply_list(table, complete_list({endpoint_at("x", 1, 3), endpoint_at("y", 1, 3)}));
  EXPECT_EQ(table.size(), 2U);
  EXPECT_EQ(apply_list(table, partial_list({endpoint_at("x", 1, 3)})).replaced, Summaries{"y"});
}

TEST(EndpointTable, EndpointsThatSwapAddressesStay) {
  for (const bool complete : {false, true}) {
    EndpointTable table;
    apply_list(table,
               complete_list({endpoint_at("a", 1), endpoint_at("b", 2), endpoint_at("c", 3)}));
    const auto applied = apply_list(
        table, {0, complete, {endpoint_at("a", 2), endpoint_at("b", 3), endpoint_at("c", 1)}});
    EXPECT_TRUE(applied.replaced.empty());
    EXPECT_EQ(applied.entries.size(), 3U);
    EXPECT_EQ(table.find("a")->address, endpoint_at("", 2).address);
    EXPECT_EQ(table.find("c")->address, endpoint_at("", 1).address);
    EXPECT_EQ(table.up_count(), 3U);
  }
}

TEST(EndpointTable, AcceptsIpv6Addresses) {
  EndpointTable table;
  ListedEndpoint six = endpoint_at("six", 1);
  ListedEndpoint also = six;
  six.address.address(asio::ip::make_address("fd00::1"));
  also.address.address(asio::ip::make_address("fd00::2"));
  EXPECT_EQ(reported(table, complete_list({six})), Summaries{"+six"});
  EXPECT_EQ(reported(table, complete_list({six})), Summaries{});
  EXPECT_EQ(table.find("six")->address, six.address);
  EXPECT_EQ(apply_list(table, partial_list({also})).stale_connections, Summaries{"six"});
  also.entry.server = "other";
  EXPECT_EQ(apply_list(table, partial_list({also})).replaced, Summaries{"six"});
}

TEST(EndpointTable, TheLastEntryOfAnIdInAListCounts) {
  EndpointTable table;
  apply_list(table, partial_list({endpoint_at("a", 1), removed_endpoint("a")}));
  EXPECT_FALSE(table.find("a"));
  apply_list(table,
             partial_list({endpoint_at("a", 1), endpoint_at("a", 1, 0, EndpointState::kDraining),
                           removed_endpoint("a"), endpoint_at("a", 2)}));
  ASSERT_TRUE(table.find("a"));
  EXPECT_EQ(table.find("a")->address, endpoint_at("", 2).address);
  EXPECT_TRUE(table.find("a")->up);
  apply_list(table, partial_list({endpoint_at("a", 2), removed_endpoint("a")}));
  EXPECT_FALSE(table.find("a"));
}

TEST(EndpointTable, AppliesAListInSlicesWithUrgentChangesFirst) {
  // Guards against requests to draining or removed endpoints while thousands of others are still
  // added.
  const int n = 5'000;
  EndpointTable table;
  apply_list(table, complete_list(many_endpoints(n)));
  auto next = many_endpoints(2 * n);  // half of them are new, and come first
  std::reverse(next.begin(), next.end());
  std::set<std::string> urgent;
  for (int i = 0; i < 100; ++i) {
    ListedEndpoint& drains = next[std::size_t(2 * n - 1 - i)];
    drains.entry.state = EndpointState::kDraining;
    urgent.insert("~" + drains.entry.server);
    ListedEndpoint& restarted = next[std::size_t(2 * n - 1'000 - i)];
    restarted.entry.started_at += 100'000'000;
    urgent.insert("+" + restarted.entry.server);
    ListedEndpoint& replaced = next[std::size_t(n + i)];  // another one has its address
    urgent.insert("-" + replaced.entry.server);
    replaced.entry.server.insert(0, "new-");
    replaced.entry.started_at += 100'000'000;
  }
  table.enqueue(complete_list(next));
  std::size_t seen = 0;
  std::size_t slices = 0;
  for (; !table.is_idle(); ++slices) {
    const auto applied = table.apply();
    EXPECT_LE(applied.entries.size(), EndpointTable::kMaxChangesPerSlice + 1);
    for (const auto& entry : applied.entries) {
      EXPECT_TRUE(++seen > urgent.size() || urgent.count(summary(entry)) == 1) << summary(entry);
    }
  }
  EXPECT_EQ(seen, urgent.size() + std::size_t(n) + 100);
  EXPECT_GE(slices, std::size_t(n) / EndpointTable::kMaxChangesPerSlice);
  EXPECT_EQ(table.size(), std::size_t(2 * n));
}

TEST(EndpointTable, PendingSlicesDoNotOverwriteANewerList) {
  // Guards against a stale entry: a pending addition must not bring back an endpoint that is
  // draining or removed by now.
  const int n = 5'000;
  EndpointTable table;
  apply_list(table, complete_list({endpoint_at("there", -1)}));
  auto first = many_endpoints(n);
  first.push_back(endpoint_at("there", -1));
  table.enqueue(complete_list(first));
  while (table.apply().entries.empty()) {  // until the additions have begun
  }
  ASSERT_FALSE(table.is_idle());
  const std::string drains = label("s-", n - 1);
  const std::string removed = label("s-", n - 2);
  const std::string moved = label("s-", n - 3);
  const std::string replaced = label("s-", n - 4);
  ListedEndpoint drained = endpoint_at(drains, n - 1, n, EndpointState::kDraining);
  table.enqueue(partial_list({drained, removed_endpoint(removed), endpoint_at(moved, 2 * n, n),
                              endpoint_at("new", n - 4, 2 * n), removed_endpoint("there")}));
  Summaries next;
  for (const auto& entry : table.apply().entries) {
    next.push_back(summary(entry));
  }
  EXPECT_EQ(next.at(0), "-there");  // not behind the first list's additions
  for (const auto& entry : apply_all(table).entries) {
    EXPECT_NE(summary(entry), "+" + drains);
    EXPECT_NE(summary(entry), "+" + removed);
  }
  EXPECT_FALSE(table.find(drains)->up);
  EXPECT_FALSE(table.find(removed));
  EXPECT_FALSE(table.find(replaced));
  EXPECT_FALSE(table.find("there"));
  EXPECT_EQ(table.find(moved)->address, endpoint_at("", 2 * n).address);
  EXPECT_EQ(table.size(), std::size_t(n - 1));  // one is gone, and one in another's place
  // An endpoint that was superseded once may come back.
  EXPECT_EQ(reported(table, partial_list({endpoint_at(removed, n - 2)})), Summaries{"+" + removed});
}

TEST(EndpointTable, ACompleteListSupersedesPendingLists) {
  EndpointTable table;
  table.enqueue(complete_list(many_endpoints(5'000)));
  table.apply();
  table.enqueue(partial_list({endpoint_at("between", -1)}));
  apply_list(table, complete_list({endpoint_at("s-0", 0, 1), endpoint_at("last", -2)}));
  EXPECT_EQ(table.size(), 2U);
  EXPECT_TRUE(table.find("s-0"));
  EXPECT_TRUE(table.find("last"));
}

TEST(EndpointTable, MatchesAPlainMapForAnyListsAndSlices) {
  // Compares with a plain map that has each list at once. Guards against indices that lose or keep
  // entries wrongly, over many reuses of slots.
  std::mt19937 random(5);
  const auto pick = [&](int n) { return int(random() % unsigned(n)); };
  EndpointTable table;
  std::map<std::string, ListedEndpoint> expected;
  std::map<std::string, EndpointEntry> reported_entries;  // as the changes report it
  for (int round = 0; round < 300; ++round) {
    EndpointList list;
    list.complete = pick(10) == 0;
    const int size = pick(list.complete ? 6'000 : 1'500);
    std::set<int> ids;
    for (int i = 0; i < size; ++i) {
      ids.insert(pick(6'000));
    }
    for (const int id : ids) {
      ListedEndpoint endpoint = endpoint_at(label("s-", id), id + 10'000 * pick(2),
                                            1 + pick(2));  // each has two addresses of its own
      endpoint.entry.zone = label("z", pick(5));
      const int state = pick(10);
      if (state == 0) {
        endpoint.entry.state = EndpointState::kDraining;
      }
      if (state == 1 && !list.complete) {
        endpoint = removed_endpoint(endpoint.entry.server);
      }
      list.endpoints.push_back(endpoint);
    }
    if (list.complete) {
      expected.clear();
    }
    for (const ListedEndpoint& endpoint : list.endpoints) {
      if (endpoint.entry.state == EndpointState::kRemoved) {
        expected.erase(endpoint.entry.server);
      } else {
        expected[endpoint.entry.server] = endpoint;
      }
    }
    table.enqueue(std::move(list));
    const bool rest = round % 7 == 0;  // else some slices are pending when the next list comes
    for (int slices = pick(4); (rest || slices-- > 0) && !table.is_idle();) {
      for (const auto& entry : table.apply().entries) {
        if (entry.state == EndpointState::kRemoved) {
          reported_entries.erase(entry.server);
        } else {
          reported_entries[entry.server] = entry;
        }
      }
    }
    if (!table.is_idle()) {
      continue;
    }
    ASSERT_EQ(table.size(), expected.size()) << round;
    ASSERT_EQ(reported_entries.size(), expected.size()) << round;
    for (const auto& [id, endpoint] : expected) {
      const auto found = table.find(id);
      ASSERT_TRUE(found) << id;
      EXPECT_EQ(found->address, endpoint.address);
      EXPECT_EQ(found->started_at, endpoint.entry.started_at);
      EXPECT_EQ(found->up, endpoint.entry.state == EndpointState::kUp);
      EXPECT_EQ(reported_entries[id].state, endpoint.entry.state);
      EXPECT_EQ(reported_entries[id].zone, endpoint.entry.zone);
    }
  }
}

TEST(EndpointTableCost, OneChangeCostsTheSameAmongManyAsAmongFew) {
  // One takes 13 ms through a set of all addresses at 20,000 servers. Caches make the rest of the
  // difference.
  std::map<int, double> cost_us;
  for (const int n : {200, kFleetSize}) {
    EndpointTable table;
    apply_list(table, complete_list(many_endpoints(n)));
    int i = 0;
    cost_us[n] = least_cpu_us(5,
                              [&] {
                                for (int k = 0; k < 200; ++k, ++i) {
                                  const int server = int(i * 7'919LL % n);
                                  apply_list(table, partial_list({endpoint_at(label("s-", server),
                                                                              server, 1 + n + i)}));
                                }
                              }) /
                 200;
  }
  std::cerr << "one change: " << cost_us[200] << " us at 200, " << cost_us[kFleetSize] << " us at "
            << kFleetSize << '\n';
  EXPECT_LT(cost_us[kFleetSize], 8 * cost_us[200] + kSlowdown);
  EXPECT_LT(cost_us[kFleetSize], kSlowdown * 50);
}

TEST(EndpointTableCost, NoSliceTakesLong) {
  // Guards against a burst that delays requests. At 170,000 servers: a first whole list, the same
  // again, and a zone of 24,000 that restarts. Each has the least of three runs, slice by slice.
  std::map<std::string, std::vector<double>> least;
  for (int run = 0; run < 3; ++run) {
    EndpointTable table;
    const auto slices = [&](const char* operation, EndpointList list) {
      table.enqueue(std::move(list));
      std::vector<double>& of = least[operation];
      for (std::size_t i = 0; !table.is_idle(); ++i) {
        const double began = cpu_us();
        table.apply();
        const double took = cpu_us() - began;
        if (i == of.size()) {
          of.push_back(took);
        }
        of[i] = std::min(of[i], took);
      }
    };
    slices("first", complete_list(many_endpoints(kFleetSize)));
    slices("same", complete_list(many_endpoints(kFleetSize)));
    auto zone = partial_list(many_endpoints(24'000));
    for (ListedEndpoint& endpoint : zone.endpoints) {
      endpoint.entry.started_at += 1'000'000'000;
    }
    slices("zone", zone);
  }
  for (const auto& [operation, cost_us] : least) {
    const double most = *std::max_element(cost_us.begin(), cost_us.end());
    std::cerr << operation << ": " << cost_us.size() << " slices, longest " << most << " us, all "
              << std::accumulate(cost_us.begin(), cost_us.end(), 0.0) / 1000 << " ms\n";
    EXPECT_LT(most, kSlowdown * 4'000) << operation;
  }
}

TEST(EndpointTableCost, AnEndpointUsesLittleMemoryAndLeavesNone) {
  const auto bytes = [] { return double(::mallinfo2().uordblks + ::mallinfo2().hblkhd); };
  const double before = bytes();
  EndpointTable table;
  apply_list(table, complete_list(many_endpoints(kFleetSize)));
  const double each = (bytes() - before) / kFleetSize;
  std::cerr << each << " bytes an endpoint\n";
  EXPECT_LT(each, 110);
  // Endpoints that come and go leave nothing behind.
  for (int round = 1; round <= 5; ++round) {
    auto list = many_endpoints(kFleetSize / 10);
    for (ListedEndpoint& endpoint : list) {
      endpoint.entry.server += char('a' + round);
      endpoint.entry.started_at += round * kFleetSize;
      endpoint.entry.zone = label("z", round);
    }
    EXPECT_EQ(apply_list(table, partial_list(std::move(list))).replaced.size(),
              std::size_t(kFleetSize / 10));
  }
  EXPECT_EQ(table.size(), std::size_t(kFleetSize));
  EXPECT_LE((bytes() - before) / kFleetSize, 1.1 * each);
}

}  // namespace
}  // namespace quota_gateway::net::testing
