#include "components/membership/directory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

#include "components/membership/isolation.h"
#include "components/membership/prober.h"
#include "tests/support/times.h"

namespace kingcupstair::membership {
namespace {

HostRecord Record(const std::string& host, uint64_t incarnation) {
  return {.host = host, .incarnation = incarnation, .version = 1};
}

TEST_GROUP(Directory) {
  Directory directory{{}, Record("own", 10), At(0)};

  void Hear(const HostRecord& record, Liveness liveness = Liveness::kAlive) {
    this->directory.Merge({.record = record, .liveness = liveness}, At(0));
  }
};

TEST(Directory, ALaterVersionWinsAndAnEarlierOneIsNoNews) {
  this->Hear(Record("a", 5));
  CHECK_FALSE(this->directory.Merge({.record = Record("a", 4)}, At(0)));
  CHECK(this->directory.Merge({.record = Record("a", 6)}, At(0)));
}

TEST(Directory, ASuspectThatDoesNotAnswerDies) {
  this->Hear(Record("a", 5));
  this->directory.Suspect("a", At(0));
  CHECK(this->directory.Tick(At(2'000)).empty());
  LONGS_EQUAL(1, this->directory.Tick(At(3'000)).size());
  LONGS_EQUAL(1, this->directory.Present().size());
}

TEST(Directory, ASuspectThatTellsOfItselfAnewIsAlive) {
  this->Hear(Record("a", 5));
  this->directory.Suspect("a", At(0));
  HostRecord refuted = Record("a", 5);
  refuted.version = 2;
  this->Hear(refuted);
  CHECK(this->directory.Tick(At(9'000)).empty());
}

TEST(Directory, RefutesItsOwnDeath) {
  this->Hear(Record("own", 10), Liveness::kDead);
  LONGS_EQUAL(2, this->directory.own().version);
  LONGS_EQUAL(10, this->directory.own().incarnation);
}

// After a step of the clock an earlier life may have the higher number. Taking
// the same number would answer for what that life did.
TEST(Directory, NeverTakesTheNumberOfAnEarlierLife) {
  this->Hear(Record("own", 99));
  LONGS_EQUAL(100, this->directory.own().incarnation);
}

TEST(Directory, TellsAPeerExactlyWhatItLacks) {
  this->Hear(Record("a", 5));
  this->Hear(Record("b", 6));
  Directory peer({}, Record("peer", 1), At(0));
  peer.Merge({.record = Record("a", 5)}, At(0));
  const auto lacking = this->directory.NewerThan(peer.Versions());
  LONGS_EQUAL(2, lacking.size());
  for (const HostUpdate& update : lacking) {
    peer.Merge(update, At(0));
  }
  this->Hear(Record("peer", 1));
  CHECK(peer.Digest() == this->directory.Digest());
}

TEST(Directory, ARecordGoesOnlyToAPeerThatLacksIt) {
  Directory peer({}, Record("peer", 1), At(0));
  this->Hear(Record("a", 5));
  const auto told = this->directory.Recent(At(1));
  const auto wanted = peer.Lacking(told);
  CHECK(std::find(wanted.begin(), wanted.end(), told.front().host_hash) !=
        wanted.end());
  for (const HostUpdate& update : this->directory.FindByHash(wanted)) {
    peer.Merge(update, At(1));
  }
  CHECK(peer.Lacking(told).empty());
  for (const HostUpdate& update :
       this->directory.RecentUpdatesFor(peer.Recent(At(1)), 8, At(1))) {
    CHECK(update.record.host != "a");
  }
}

TEST(Directory, ANewHostTellsOfItself) {
  Directory peer({}, Record("peer", 1), At(0));
  LONGS_EQUAL(1, this->directory.Lacking(peer.Recent(At(1))).size());
  LONGS_EQUAL(1, this->directory.LackingOf(peer.Versions()).size());
}

TEST(Directory, TellsOfAChangeForALimitedTime) {
  CHECK_FALSE(this->directory.Recent(At(29'999)).empty());
  CHECK(this->directory.Recent(At(30'000)).empty());
}

TEST_GROUP(Prober){};

TEST(Prober, ProbesEveryHostOnceARound) {
  Prober prober(1);
  const std::vector<std::string> hosts{"a", "b", "c", "d"};
  std::set<std::string> probed;
  for (size_t i = 0; i < hosts.size(); ++i) {
    probed.insert(*prober.Next(hosts));
  }
  LONGS_EQUAL(4, probed.size());
}

TEST_GROUP(Isolation){};

TEST(Isolation, AHostThatHearsNobodyIsIsolatedUnlessItIsAlone) {
  Isolation isolation({.start = At(0)});
  isolation.OnHeard(At(1'000));
  CHECK_FALSE(isolation.IsIsolated(2, At(5'000)));
  CHECK(isolation.IsIsolated(2, At(5'001)));
  CHECK_FALSE(isolation.IsIsolated(1, At(9'000)));
}

}  // namespace
}  // namespace kingcupstair::membership
