#include "components/membership/witnesses.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace kingcupstair::membership {
namespace {

TEST_GROUP(Witnesses) {
  std::vector<HostRecord> hosts;

  void setup() override {
    for (const char* host : {"a", "b", "c", "d", "e", "own"}) {
      this->hosts.push_back({.host = host, .zone = "aqp-1"});
    }
  }

  std::vector<std::string> Find() const {
    return WitnessesOf("own", "aqp-1", this->hosts, 3);
  }
};

// A host that has restarted hears of the others in another order.
TEST(Witnesses, DependOnlyOnTheSetOfHosts) {
  const auto before = this->Find();
  LONGS_EQUAL(3, before.size());
  std::reverse(this->hosts.begin(), this->hosts.end());
  CHECK(before == this->Find());
}

TEST(Witnesses, StayWhenAnotherHostLeaves) {
  const auto before = this->Find();
  for (HostRecord& record : this->hosts) {
    record.leaving = record.host == before.front();
  }
  const auto after = this->Find();
  CHECK(after[0] == before[1]);
  CHECK(after[1] == before[2]);
}

TEST(Witnesses, AreInTheZoneOfTheHostIfItHasOthers) {
  for (HostRecord& record : this->hosts) {
    if (record.host != "d" && record.host != "own") {
      record.zone = "aqp-2";
    }
  }
  const auto witnesses = this->Find();
  LONGS_EQUAL(3, witnesses.size());
  STRCMP_EQUAL("d", witnesses.front().c_str());
}

}  // namespace
}  // namespace kingcupstair::membership
