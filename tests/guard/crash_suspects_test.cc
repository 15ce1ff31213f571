#include "components/guard/crash_suspects.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::guard {
namespace {

constexpr once::Fingerprint kGuilty = 7;
constexpr once::Fingerprint kOther = 8;

TEST_GROUP(CrashSuspects) {
  CrashSuspects suspects;

  void Run(uint64_t ticket, once::Fingerprint fingerprint, RunReply reply,
           int64_t until_ms) {
    this->suspects.OnStart(ticket, fingerprint);
    this->suspects.OnEnd(ticket, reply, At(until_ms));
  }
};

TEST(CrashSuspects, ARunThatTimedOutBeforeTheRestartIsASuspect) {
  this->Run(1, kGuilty, RunReply::kNone, 2'000);
  const auto found = this->suspects.TakeAll(At(5'000));
  CHECK(found ==
        (std::vector<CrashSuspect>{{.fingerprint = kGuilty, .at = At(2'000)}}));
}

TEST(CrashSuspects, ARunThatIsWaitingWhenTheUpstreamRestartsIsASuspect) {
  this->suspects.OnStart(1, kGuilty);
  LONGS_EQUAL(0, this->suspects.TakeEnded().size());
  LONGS_EQUAL(1, this->suspects.TakeAll(At(1'000)).size());
}

TEST(CrashSuspects, ARunOfAnEarlierStartIsNoSuspectOfTheNextCrash) {
  this->suspects.OnStart(1, kGuilty);
  this->suspects.TakeAll(At(1'000));
  this->suspects.OnEnd(1, RunReply::kNone, At(1'010));
  LONGS_EQUAL(0, this->suspects.TakeAll(At(2'000)).size());
}

TEST(CrashSuspects, ARequestThatWasNotSentIsNoSuspect) {
  this->Run(1, kOther, RunReply::kNotSent, 100);
  LONGS_EQUAL(0, this->suspects.TakeAll(At(200)).size());
}

}  // namespace
}  // namespace kingcupstair::guard
