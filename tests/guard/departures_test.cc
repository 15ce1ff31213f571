#include "components/guard/departures.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::guard {
namespace {

TEST_GROUP(Departures) {
  Departures departures;
};

TEST(Departures, AreNewsOnce) {
  CHECK(this->departures.Add("lote-1/1", At(0)));
  CHECK_FALSE(this->departures.Add("lote-1/1", At(1'000)));
  CHECK(this->departures.Contains("lote-1/1"));
  CHECK_FALSE(this->departures.Contains("lote-1/2"));
}

TEST(Departures, AreKeptForAMinuteAfterTheLastMessage) {
  this->departures.Add("lote-1/1", At(0));
  this->departures.Add("lote-1/1", At(30'000));
  this->departures.Expire(At(90'000));
  CHECK(this->departures.Contains("lote-1/1"));
  this->departures.Expire(At(90'001));
  CHECK_FALSE(this->departures.Contains("lote-1/1"));
}

TEST(Departures, CoverAllStartsOfAnUpstreamUntilATime) {
  this->departures.Add(Departures::StartsUntilName("lote-1", 1'000), At(0));
  const auto covers = [this](const char* id, uint64_t started_at) {
    return this->departures.Covers(
        {.id = id, .incarnation = "@", .started_at = started_at});
  };
  CHECK(covers("lote-1", 1'000));
  CHECK(covers("lote-1", 0));
  CHECK_FALSE(covers("lote-1", 1'001));
  CHECK_FALSE(covers("lote-11", 1'000));
  this->departures.Add(Departures::StartsUntilName("lote-1", 2'000), At(0));
  CHECK(covers("lote-1", 1'001));
}

}  // namespace
}  // namespace kingcupstair::guard
