#include "components/membership/prober.h"

#include <CppUTest/TestHarness.h>

#include <deque>
#include <set>

namespace kingcupstair::membership {
namespace {

constexpr size_t kTargets = 3;

std::vector<std::string> Hosts(int count) {
  std::vector<std::string> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back("10.0.0." + std::to_string(i) + ":8500");
  }
  return hosts;
}

/// Returns how many of `hosts` hear news that the first one has and that each
/// passes on once.
size_t CountReached(const std::vector<std::string>& hosts, uint64_t seed) {
  std::set<std::string> reached{hosts.front()};
  std::deque<std::string> telling{hosts.front()};
  while (!telling.empty()) {
    Prober prober(++seed);
    for (const std::string& host :
         prober.HostsToTell(hosts, telling.front(), kTargets)) {
      if (reached.insert(host).second) {
        telling.push_back(host);
      }
    }
    telling.pop_front();
  }
  return reached.size();
}

TEST_GROUP(Prober){};

// Guards against hosts that no other picks, which then have a change only when
// they are told a second time (config_spread_test).
TEST(Prober, NewsThatEachHostPassesOnReachesAll) {
  for (const int count : {2, 3, 8, 30, 200}) {
    const auto hosts = Hosts(count);
    for (uint64_t seed = 0; seed < 50; ++seed) {
      LONGS_EQUAL(count, CountReached(hosts, 1'000 * seed));
    }
  }
}

TEST(Prober, NewsGoesToDifferentOtherHosts) {
  Prober prober(1);
  const auto hosts = Hosts(5);
  for (const std::string& own : hosts) {
    const auto told = prober.HostsToTell(hosts, own, kTargets);
    LONGS_EQUAL(kTargets, told.size());
    const std::set<std::string> distinct(told.begin(), told.end());
    LONGS_EQUAL(kTargets, distinct.size());
    CHECK_FALSE(distinct.contains(own));
  }
  CHECK(prober.HostsToTell({"own"}, "own", kTargets).empty());
}

}  // namespace
}  // namespace kingcupstair::membership
