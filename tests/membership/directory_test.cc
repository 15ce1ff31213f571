#include "components/membership/directory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

#include "components/membership/isolation.h"
#include "components/membership/prober.h"
#include "tests/support/times.h"

namespace kingcupstair::membership {
namespace {

HostRecord MakeRecord(const std::string& host, uint64_t incarnation) {
  return {.host = host, .incarnation = incarnation, .version = 1};
}

TEST_GROUP(Directory) {
  Directory directory{{}, MakeRecord("own", 10), At(0)};

  void Receive(const HostRecord& record, Liveness liveness = Liveness::kAlive) {
    this->directory.Merge({.record = record, .liveness = liveness}, At(0));
  }
};

TEST(Directory, AppliesALaterVersionAndIgnoresAnEarlierOne) {
  this->Receive(MakeRecord("a", 5));
  CHECK_FALSE(this->directory.Merge({.record = MakeRecord("a", 4)}, At(0)));
  CHECK(this->directory.Merge({.record = MakeRecord("a", 6)}, At(0)));
}

TEST(Directory, MarksASuspectAsDeadAfterTheTimeout) {
  this->Receive(MakeRecord("a", 5));
  this->directory.MarkSuspect("a", At(0));
  CHECK(this->directory.Tick(At(2'000)).empty());
  LONGS_EQUAL(1, this->directory.Tick(At(3'000)).size());
  LONGS_EQUAL(1, this->directory.HostsNotDead().size());
}

TEST(Directory, ASuspectThatRefutesStaysAlive) {
  this->Receive(MakeRecord("a", 5));
  this->directory.MarkSuspect("a", At(0));
  HostRecord refuted = MakeRecord("a", 5);
  refuted.version = 2;
  this->Receive(refuted);
  CHECK(this->directory.Tick(At(9'000)).empty());
}

TEST(Directory, RefutesAnUpdateThatMarksThisHostAsDead) {
  this->Receive(MakeRecord("own", 10), Liveness::kDead);
  LONGS_EQUAL(2, this->directory.own().version);
  LONGS_EQUAL(10, this->directory.own().incarnation);
}

// After a backward step of the wall clock, an earlier incarnation of this host
// may have the higher number. With the same number, this process would answer
// for the requests of that incarnation.
TEST(Directory, NeverTakesTheNumberOfAnEarlierIncarnation) {
  this->Receive(MakeRecord("own", 99));
  LONGS_EQUAL(100, this->directory.own().incarnation);
}

TEST(Directory, FullComparisonSendsExactlyTheMissingRecords) {
  this->Receive(MakeRecord("a", 5));
  this->Receive(MakeRecord("b", 6));
  Directory peer({}, MakeRecord("peer", 1), At(0));
  peer.Merge({.record = MakeRecord("a", 5)}, At(0));
  const auto missing = this->directory.UpdatesNewerThan(peer.Versions());
  LONGS_EQUAL(2, missing.size());
  for (const HostUpdate& update : missing) {
    peer.Merge(update, At(0));
  }
  this->Receive(MakeRecord("peer", 1));
  CHECK(peer.Digest() == this->directory.Digest());
}

TEST(Directory, SendsARecordOnlyToAPeerThatIsMissingIt) {
  Directory peer({}, MakeRecord("peer", 1), At(0));
  this->Receive(MakeRecord("a", 5));
  const auto recent = this->directory.RecentVersions(At(1));
  const auto outdated = peer.OutdatedAmongRecent(recent);
  CHECK(std::find(outdated.begin(), outdated.end(), recent.front().host_hash) !=
        outdated.end());
  for (const HostUpdate& update : this->directory.FindByHash(outdated)) {
    peer.Merge(update, At(1));
  }
  CHECK(peer.OutdatedAmongRecent(recent).empty());
  for (const HostUpdate& update : this->directory.RecentUpdatesNewerThan(
           peer.RecentVersions(At(1)), 8, At(1))) {
    CHECK(update.record.host != "a");
  }
}

TEST(Directory, ANewHostIsMissingAtItsPeers) {
  Directory peer({}, MakeRecord("peer", 1), At(0));
  LONGS_EQUAL(
      1,
      this->directory.OutdatedAmongRecent(peer.RecentVersions(At(1))).size());
  LONGS_EQUAL(1, this->directory.OutdatedHosts(peer.Versions()).size());
}

TEST(Directory, GossipsAChangeForALimitedTime) {
  CHECK_FALSE(this->directory.RecentVersions(At(29'999)).empty());
  CHECK(this->directory.RecentVersions(At(30'000)).empty());
}

TEST_GROUP(DepartureRecords) {
  Directory directory{{}, MakeRecord("own", 10), At(0)};

  void Receive(uint64_t incarnation, std::vector<std::string> departures,
               int64_t at_ms = 0) {
    HostRecord record = MakeRecord("a", incarnation);
    record.departures = std::move(departures);
    this->directory.Merge({.record = record}, At(at_ms));
  }

  /// What host a is told if it asks without a version of its own.
  std::vector<std::string> Returned() const {
    for (const HostUpdate& update : this->directory.UpdatesNewerThan({})) {
      if (update.record.host == "a") {
        return update.record.departures;
      }
    }
    return {};
  }
};

// A departed upstream was in use again after a restart of its host.
TEST(DepartureRecords, OutliveTheRecordOfTheEarlierIncarnation) {
  const std::vector<std::string> first{"lote-1/1"};
  const std::vector<std::string> both{"lote-1/1", "lote-1/2"};
  this->Receive(5, first);
  CHECK(first == this->Returned());
  this->Receive(6, {});
  CHECK(first == this->Returned());
  this->Receive(7, {"lote-1/2"});
  CHECK(both == this->Returned());
}

TEST(DepartureRecords, AreForgottenAMinuteAfterTheRestart) {
  this->Receive(5, {"lote-1/1"});
  this->Receive(6, {}, 1'000);
  this->directory.Tick(At(60'999));
  LONGS_EQUAL(1, this->Returned().size());
  this->directory.Tick(At(61'000));
  CHECK(this->Returned().empty());
}

TEST(DepartureRecords, OnlyAHostWithoutTheRecordIsToldOfFormerOnes) {
  this->Receive(5, {"lote-1/1"});
  this->Receive(6, {});
  const auto versions = std::map<std::string, RecordVersion>{
      {"a", {.incarnation = 5, .version = 1}}};
  for (const HostUpdate& update : this->directory.UpdatesNewerThan(versions)) {
    CHECK(update.record.departures.empty());
  }
}

TEST(DepartureRecords, ArePublishedAtOnceAndExpireSilently) {
  const HostRecord before = MakeRecord("a", 5);
  HostRecord after = before;
  after.departures = {"lote-1/1"};
  CHECK(HasSignificantChange(before, after));
  CHECK_FALSE(HasSameUpstreams(after, before));
  CHECK_FALSE(HasSignificantChange(after, before));
  CHECK(HasSameUpstreams(before, after));
}

TEST_GROUP(RemainingWork){};

// Remaining work changes with every request, and each record that is published
// goes to every host.
TEST(RemainingWork, IsNotPublishedOnItsOwn) {
  HostRecord record = MakeRecord("a", 5);
  record.upstreams = {{.id = "u", .service = "s"}};
  Directory directory({}, record, At(0));
  HostRecord changed = record;
  changed.upstreams[0].remaining_work = Millis(5'000);
  CHECK_FALSE(HasSignificantChange(record, changed));
  CHECK_FALSE(directory.UpdateOwn(changed, At(1)));
  changed.upstreams[0].limit = 7;
  CHECK(directory.UpdateOwn(changed, At(2)));
  CHECK(directory.own().upstreams[0].remaining_work == Millis(5'000));
}

TEST_GROUP(Prober){};

TEST(Prober, ReturnsEveryHostOnceARound) {
  Prober prober(1);
  const std::vector<std::string> hosts{"a", "b", "c", "d"};
  std::set<std::string> probed;
  for (size_t i = 0; i < hosts.size(); ++i) {
    probed.insert(*prober.NextTarget(hosts));
  }
  LONGS_EQUAL(4, probed.size());
}

TEST_GROUP(IsolationDetector){};

TEST(IsolationDetector, AHostWithoutContactIsIsolatedUnlessItIsTheOnlyOne) {
  IsolationDetector isolation({.start = At(0)});
  isolation.RecordContact(At(1'000));
  CHECK_FALSE(isolation.IsIsolated(2, At(5'000)));
  CHECK(isolation.IsIsolated(2, At(5'001)));
  CHECK_FALSE(isolation.IsIsolated(1, At(9'000)));
}

}  // namespace
}  // namespace kingcupstair::membership
