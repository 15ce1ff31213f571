#include "components/once/rumor_selection.h"

#include <CppUTest/TestHarness.h>

#include <set>

#include "components/once/crash_ledger.h"
#include "tests/support/times.h"

namespace kingcupstair::once {
namespace {

constexpr size_t kRoom = 32;

TEST_GROUP(RumorSelection){};

TEST(RumorSelection, AShortListIsToldWhole) {
  CHECK(SelectRumors(std::vector<int>{1, 2, 3}, kRoom, 5) ==
        (std::vector<int>{1, 2, 3}));
}

TEST(RumorSelection, AllEntriesOfALongListAreToldInTurn) {
  std::vector<int> list;
  for (int i = 0; i < 500; ++i) {
    list.push_back(i);
  }
  std::set<int> told;
  for (uint64_t round = 0; round < 31; ++round) {
    const auto selected = SelectRumors(list, kRoom, round);
    LONGS_EQUAL(kRoom, selected.size());
    told.insert(selected.begin(), selected.end());
  }
  LONGS_EQUAL(500, told.size());
}

TEST(RumorSelection, ANewCrashIsToldAtOnceAmongMuchOlderEvidence) {
  CrashLedger ledger({});
  CrashLedger peer({});
  constexpr Fingerprint kGuilty = 1'000;
  for (Fingerprint other = 0; other < 200; ++other) {
    ledger.Add({.fingerprint = other, .upstream = "a"}, At(0), At(0));
  }
  ledger.Add({.fingerprint = kGuilty, .upstream = "b"}, At(1'000), At(1'000));
  ledger.Add({.fingerprint = kGuilty, .upstream = "c"}, At(1'000), At(1'000));
  for (const AgedEvidence& told :
       SelectRumors(ledger.Current(At(2'000)), kRoom, 0)) {
    peer.Add(told.evidence, At(2'000) - told.age, At(2'000));
  }
  CHECK(peer.RefusedFor(kGuilty, At(2'000)) > Duration{});
}

}  // namespace
}  // namespace kingcupstair::once
