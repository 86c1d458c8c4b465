// The list of servers in force: what a list changes, in slices, and which of two lists counts.
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
constexpr double kSlower = 10;  // than the program that is shipped
#else
constexpr double kSlower = 1;
#endif
constexpr int kWorld = 170'000;  // servers, of which 24,000 are a zone

ListedEndpoint at(const std::string& id, int place, Micros started_at = 0,
                  EndpointState state = EndpointState::kUp) {
  ListedEndpoint m;
  m.entry.server = id;
  m.entry.zone = "a";
  m.entry.started_at = started_at;
  m.entry.state = state;
  m.address = {asio::ip::address_v4(std::uint32_t(0x0a000000 + place)), 8081};
  return m;
}
ListedEndpoint gone(const std::string& id) {
  ListedEndpoint m;
  m.entry.server = id;
  m.entry.state = EndpointState::kRemoved;
  return m;
}
EndpointList changes(ListedEndpoints members) {
  return {0, false, std::move(members)};
}
EndpointList whole(ListedEndpoints members) {
  return {0, true, std::move(members)};
}
ListedEndpoints many(int count) {
  ListedEndpoints out;
  for (int i = 0; i < count; ++i) {
    out.push_back(at(label("s-", i), i, 1 + i));
  }
  return out;
}

// "+id" for what runs, "~id" for what drains and "-id" for what is gone.
std::string brief(const EndpointEntry& e) {
  static constexpr const char* kSigns[] = {"+", "~", "-"};
  return std::string(kSigns[int(e.state)]).append(e.server);
}
using Briefs = std::vector<std::string>;

// Applies all that was taken.
EndpointChanges all_of(EndpointTable& catalog) {
  EndpointChanges all;
  while (!catalog.is_idle()) {
    EndpointChanges d = catalog.apply();
    std::move(d.entries.begin(), d.entries.end(), std::back_inserter(all.entries));
    std::move(d.stale_connections.begin(), d.stale_connections.end(),
              std::back_inserter(all.stale_connections));
    std::move(d.replaced.begin(), d.replaced.end(), std::back_inserter(all.replaced));
  }
  return all;
}
EndpointChanges take(EndpointTable& catalog, EndpointList list) {
  catalog.enqueue(std::move(list));
  return all_of(catalog);
}
Briefs told(EndpointTable& catalog, EndpointList list) {
  Briefs out;
  for (const auto& e : take(catalog, std::move(list)).entries) {
    out.push_back(brief(e));
  }
  return out;
}
double cpu_us() {
  timespec t;
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return double(t.tv_sec) * 1e6 + double(t.tv_nsec) * 1e-3;
}
// The least of some runs: what else runs on the machine can only add to it.
template <typename What>
double least_cpu_us(int runs, const What& what) {
  double least = INFINITY;
  for (int i = 0; i < runs; ++i) {
    const double began = cpu_us();
    what();
    least = std::min(least, cpu_us() - began);
  }
  return least;
}

TEST(CatalogTest, AWholeListTellsWhatIsNewChangedAndGoneAndNothingElse) {
  EndpointTable c;
  EXPECT_EQ(told(c, whole({at("a", 1), at("b", 2), at("c", 3), at("d", 4)})),
            (Briefs{"+a", "+b", "+c", "+d"}));
  ListedEndpoint heavier = at("b", 2);
  heavier.entry.weight = 2;
  EXPECT_EQ(
      told(c, whole({at("a", 1), heavier, at("e", 5), at("d", 4, 0, EndpointState::kDraining)})),
      (Briefs{"~d", "-c", "+b", "+e"}));
  EXPECT_EQ(c.size(), 4U);
  EXPECT_EQ(c.up_count(), 3U);
  EXPECT_EQ(
      told(c, whole({at("d", 4, 0, EndpointState::kDraining), at("e", 5), heavier, at("a", 1)})),
      Briefs{});
  EXPECT_FALSE(c.find("c"));
  EXPECT_TRUE(c.find("a")->up);
  EXPECT_FALSE(c.find("d")->up);
}

TEST(CatalogTest, EveryFieldThatChangesIsTold) {
  EndpointTable c;
  take(c, whole({at("a", 1)}));
  std::vector<ListedEndpoint> changed(5, at("a", 1));
  changed[0].entry.zone = "b";
  changed[1].entry.cell = 7;
  changed[2].entry.weight = 0.5;
  changed[3].entry.started_at = 9;
  changed[4].address.port(9);
  for (const ListedEndpoint& m : changed) {
    EXPECT_EQ(told(c, changes({m})), Briefs{"+a"});
    EXPECT_EQ(told(c, changes({m})), Briefs{});
    EXPECT_EQ(told(c, changes({at("a", 1)})), Briefs{"+a"});
  }
}

TEST(CatalogTest, ConnectionsToWhatMovedRestartedOrWentMeanNothingAnyMore) {
  EndpointTable c;
  take(c, whole({at("a", 1), at("b", 2), at("c", 3), at("d", 4), at("e", 5)}));
  const auto d = take(
      c, changes({at("a", 11), at("b", 2, 5), gone("c"), at("d", 4, 0, EndpointState::kDraining)}));
  EXPECT_EQ(std::set<std::string>(d.stale_connections.begin(), d.stale_connections.end()),
            (std::set<std::string>{"a", "b", "c"}));
  EXPECT_TRUE(d.replaced.empty());
  EXPECT_EQ(c.find("a")->address, at("a", 11).address);
  EXPECT_EQ(c.find("b")->started_at, 5);
}

TEST(CatalogTest, WhatWasAtAnAddressIsGoneOnceAnotherOneHasIt) {
  // Guards against sending what is meant for the old process to the new one, which may be cold.
  EndpointTable c;
  take(c, whole({at("old", 1, 5), at("moves", 2, 9)}));
  auto d = take(c, changes({at("new", 1, 6)}));
  EXPECT_EQ(d.replaced, Briefs{"old"});
  EXPECT_EQ(brief(d.entries.at(0)), "-old");  // before the new one is there
  EXPECT_EQ(brief(d.entries.at(1)), "+new");
  d = take(c, changes({at("moves", 1, 9)}));
  EXPECT_EQ(d.replaced, Briefs{"new"});
  EXPECT_EQ(c.size(), 1U);
  // Who started earlier than the one that is there is not there, whatever is told.
  EXPECT_EQ(told(c, changes({at("late news", 1, 3)})), Briefs{});
  // Of equals it is the one that is told now, even as it was.
  take(c, whole({at("x", 1, 3), at("y", 1, 3)}));
  EXPECT_EQ(c.size(), 2U);
  EXPECT_EQ(take(c, changes({at("x", 1, 3)})).replaced, Briefs{"y"});
}

TEST(CatalogTest, ServersThatSwapTheirAddressesBothStay) {
  for (const bool complete : {false, true}) {
    EndpointTable c;
    take(c, whole({at("a", 1), at("b", 2), at("c", 3)}));
    const auto d = take(c, {0, complete, {at("a", 2), at("b", 3), at("c", 1)}});
    EXPECT_TRUE(d.replaced.empty());
    EXPECT_EQ(d.entries.size(), 3U);
    EXPECT_EQ(c.find("a")->address, at("", 2).address);
    EXPECT_EQ(c.find("c")->address, at("", 1).address);
    EXPECT_EQ(c.up_count(), 3U);
  }
}

TEST(CatalogTest, AddressesOfTheOtherKindAreServersToo) {
  EndpointTable c;
  ListedEndpoint six = at("six", 1);
  ListedEndpoint also = six;
  six.address.address(asio::ip::make_address("fd00::1"));
  also.address.address(asio::ip::make_address("fd00::2"));
  EXPECT_EQ(told(c, whole({six})), Briefs{"+six"});
  EXPECT_EQ(told(c, whole({six})), Briefs{});
  EXPECT_EQ(c.find("six")->address, six.address);
  EXPECT_EQ(take(c, changes({also})).stale_connections, Briefs{"six"});
  also.entry.server = "other";
  EXPECT_EQ(take(c, changes({also})).replaced, Briefs{"six"});
}

TEST(CatalogTest, AnIdThatAListNamesTwiceIsAsNamedLast) {
  EndpointTable c;
  take(c, changes({at("a", 1), gone("a")}));
  EXPECT_FALSE(c.find("a"));
  take(c, changes({at("a", 1), at("a", 1, 0, EndpointState::kDraining), gone("a"), at("a", 2)}));
  ASSERT_TRUE(c.find("a"));
  EXPECT_EQ(c.find("a")->address, at("", 2).address);
  EXPECT_TRUE(c.find("a")->up);
  take(c, changes({at("a", 2), gone("a")}));
  EXPECT_FALSE(c.find("a"));
}

TEST(CatalogTest, AListIsTakenInSlicesAndWhatMustNotWaitGoesFirst) {
  // Guards against a first byte to who drains or is gone while thousands of others are still added.
  const int n = 5'000;
  EndpointTable c;
  take(c, whole(many(n)));
  auto next = many(2 * n);  // half of them are new, and come first
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
  c.enqueue(whole(next));
  std::size_t seen = 0;
  std::size_t slices = 0;
  for (; !c.is_idle(); ++slices) {
    const auto d = c.apply();
    EXPECT_LE(d.entries.size(), EndpointTable::kMaxChangesPerSlice + 1);
    for (const auto& e : d.entries) {
      EXPECT_TRUE(++seen > urgent.size() || urgent.count(brief(e)) == 1) << brief(e);
    }
  }
  EXPECT_EQ(seen, urgent.size() + std::size_t(n) + 100);
  EXPECT_GE(slices, std::size_t(n) / EndpointTable::kMaxChangesPerSlice);
  EXPECT_EQ(c.size(), std::size_t(2 * n));
}

TEST(CatalogTest, AListThatComesWhileSlicesWaitIsNotOverwrittenByThem) {
  // Guards against a stale entry: an addition that still waits must not bring back who drains or is
  // gone by now.
  const int n = 5'000;
  EndpointTable c;
  take(c, whole({at("there", -1)}));
  auto first = many(n);
  first.push_back(at("there", -1));
  c.enqueue(whole(first));
  while (c.apply().entries.empty()) {  // until the additions have begun
  }
  ASSERT_FALSE(c.is_idle());
  const std::string drains = label("s-", n - 1);
  const std::string removed = label("s-", n - 2);
  const std::string moved = label("s-", n - 3);
  const std::string replaced = label("s-", n - 4);
  ListedEndpoint drained = at(drains, n - 1, n, EndpointState::kDraining);
  c.enqueue(changes(
      {drained, gone(removed), at(moved, 2 * n, n), at("new", n - 4, 2 * n), gone("there")}));
  Briefs next;
  for (const auto& e : c.apply().entries) {
    next.push_back(brief(e));
  }
  EXPECT_EQ(next.at(0), "-there");  // not behind the first list's additions
  for (const auto& e : all_of(c).entries) {
    EXPECT_NE(brief(e), "+" + drains);
    EXPECT_NE(brief(e), "+" + removed);
  }
  EXPECT_FALSE(c.find(drains)->up);
  EXPECT_FALSE(c.find(removed));
  EXPECT_FALSE(c.find(replaced));
  EXPECT_FALSE(c.find("there"));
  EXPECT_EQ(c.find(moved)->address, at("", 2 * n).address);
  EXPECT_EQ(c.size(), std::size_t(n - 1));  // one is gone, and one in another's place
  // What was overtaken once is not for ever.
  EXPECT_EQ(told(c, changes({at(removed, n - 2)})), Briefs{"+" + removed});
}

TEST(CatalogTest, AWholeListTakesThePlaceOfThoseThatWait) {
  EndpointTable c;
  c.enqueue(whole(many(5'000)));
  c.apply();
  c.enqueue(changes({at("between", -1)}));
  take(c, whole({at("s-0", 0, 1), at("last", -2)}));
  EXPECT_EQ(c.size(), 2U);
  EXPECT_TRUE(c.find("s-0"));
  EXPECT_TRUE(c.find("last"));
}

TEST(CatalogTest, AsTheListsSayWhateverComesAndHoweverSliced) {
  // Against a plain map, told of each list at once. Guards against indices that lose or keep what
  // they should not, over many changes of slots.
  std::mt19937 random(5);
  const auto pick = [&](int n) { return int(random() % unsigned(n)); };
  EndpointTable c;
  std::map<std::string, ListedEndpoint> plain;
  std::map<std::string, EndpointEntry> module;  // as the differences tell it
  for (int round = 0; round < 300; ++round) {
    EndpointList list;
    list.complete = pick(10) == 0;
    const int size = pick(list.complete ? 6'000 : 1'500);
    std::set<int> ids;
    for (int i = 0; i < size; ++i) {
      ids.insert(pick(6'000));
    }
    for (const int id : ids) {
      ListedEndpoint m = at(label("s-", id), id + 10'000 * pick(2),
                            1 + pick(2));  // each has two places of its own
      m.entry.zone = label("z", pick(5));
      const int state = pick(10);
      if (state == 0) {
        m.entry.state = EndpointState::kDraining;
      }
      if (state == 1 && !list.complete) {
        m = gone(m.entry.server);
      }
      list.endpoints.push_back(m);
    }
    if (list.complete) {
      plain.clear();
    }
    for (const ListedEndpoint& m : list.endpoints) {
      if (m.entry.state == EndpointState::kRemoved) {
        plain.erase(m.entry.server);
      } else {
        plain[m.entry.server] = m;
      }
    }
    c.enqueue(std::move(list));
    const bool rest = round % 7 == 0;  // else some slices wait when the next list comes
    for (int slices = pick(4); (rest || slices-- > 0) && !c.is_idle();) {
      for (const auto& e : c.apply().entries) {
        if (e.state == EndpointState::kRemoved) {
          module.erase(e.server);
        } else {
          module[e.server] = e;
        }
      }
    }
    if (!c.is_idle()) {
      continue;
    }
    ASSERT_EQ(c.size(), plain.size()) << round;
    ASSERT_EQ(module.size(), plain.size()) << round;
    for (const auto& [id, m] : plain) {
      const auto found = c.find(id);
      ASSERT_TRUE(found) << id;
      EXPECT_EQ(found->address, m.address);
      EXPECT_EQ(found->started_at, m.entry.started_at);
      EXPECT_EQ(found->up, m.entry.state == EndpointState::kUp);
      EXPECT_EQ(module[id].state, m.entry.state);
      EXPECT_EQ(module[id].zone, m.entry.zone);
    }
  }
}

// ---- Cost
// ---------------------------------------------------------------------------------------------
TEST(CatalogCost, OneChangeOfManyCostsAsMuchAsOfFew) {
  // One takes 13 ms through a set of all addresses at 20,000 servers. Caches make the rest of the
  // difference.
  std::map<int, double> us;
  for (const int n : {200, kWorld}) {
    EndpointTable c;
    take(c, whole(many(n)));
    int i = 0;
    us[n] = least_cpu_us(5,
                         [&] {
                           for (int k = 0; k < 200; ++k, ++i) {
                             const int server = int(i * 7'919LL % n);
                             take(c, changes({at(label("s-", server), server, 1 + n + i)}));
                           }
                         }) /
            200;
  }
  std::cerr << "one change: " << us[200] << " us at 200, " << us[kWorld] << " us at " << kWorld
            << '\n';
  EXPECT_LT(us[kWorld], 8 * us[200] + kSlower);
  EXPECT_LT(us[kWorld], kSlower * 50);
}

TEST(CatalogCost, NoSliceTakesLong) {
  // Guards against a burst that holds requests up. At 170,000 servers: a first whole list, the same
  // again, and a zone of 24,000 that restarts. Each has the least of three runs, slice by slice.
  std::map<std::string, std::vector<double>> least;
  for (int run = 0; run < 3; ++run) {
    EndpointTable c;
    const auto slices = [&](const char* what, EndpointList list) {
      c.enqueue(std::move(list));
      std::vector<double>& of = least[what];
      for (std::size_t i = 0; !c.is_idle(); ++i) {
        const double began = cpu_us();
        c.apply();
        const double took = cpu_us() - began;
        if (i == of.size()) {
          of.push_back(took);
        }
        of[i] = std::min(of[i], took);
      }
    };
    slices("first", whole(many(kWorld)));
    slices("same", whole(many(kWorld)));
    auto zone = changes(many(24'000));
    for (ListedEndpoint& m : zone.endpoints) {
      m.entry.started_at += 1'000'000'000;
    }
    slices("zone", zone);
  }
  for (const auto& [what, us] : least) {
    const double most = *std::max_element(us.begin(), us.end());
    std::cerr << what << ": " << us.size() << " slices, longest " << most << " us, all "
              << std::accumulate(us.begin(), us.end(), 0.0) / 1000 << " ms\n";
    EXPECT_LT(most, kSlower * 4'000) << what;
  }
}

TEST(CatalogCost, AServerTakesNoMoreMemoryThanItMust) {
  const auto bytes = [] { return double(::mallinfo2().uordblks + ::mallinfo2().hblkhd); };
  const double before = bytes();
  EndpointTable c;
  take(c, whole(many(kWorld)));
  const double each = (bytes() - before) / kWorld;
  std::cerr << each << " bytes a server\n";
  EXPECT_LT(each, 110);
  // Nothing is left of what comes and goes.
  for (int round = 1; round <= 5; ++round) {
    auto list = many(kWorld / 10);
    for (ListedEndpoint& m : list) {
      m.entry.server += char('a' + round);
      m.entry.started_at += round * kWorld;
      m.entry.zone = label("z", round);
    }
    EXPECT_EQ(take(c, changes(std::move(list))).replaced.size(), std::size_t(kWorld / 10));
  }
  EXPECT_EQ(c.size(), std::size_t(kWorld));
  EXPECT_LE((bytes() - before) / kWorld, 1.1 * each);
}

}  // namespace
}  // namespace quota_gateway::net::testing
