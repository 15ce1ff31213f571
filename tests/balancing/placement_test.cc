#include "components/balancing/placement.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <map>

#include "tests/support/times.h"

namespace kingcupstair::balancing {
namespace {

using Candidates = std::vector<PlacementCandidate>;

/// Returns `count` upstreams in `zone` that all reported `wait` just now.
Candidates MakeZone(const std::string& zone, int count, Duration wait) {
  Candidates candidates;
  for (int i = 0; i < count; ++i) {
    candidates.push_back({.view = {.id = zone + std::to_string(i),
                                   .zone = zone,
                                   .limit = 15,
                                   .latency = Millis(300)},
                          .reported_wait = wait});
  }
  return candidates;
}

Candidates operator+(Candidates left, const Candidates& right) {
  left.insert(left.end(), right.begin(), right.end());
  return left;
}

/// Places one request at each of 600 ingresses in zone a, which know the same,
/// and returns how many went to each upstream.
std::map<std::string, int> Place(const Candidates& candidates,
                                 const PlacementRequest& request = {},
                                 const SpillState& before = {}) {
  std::map<std::string, int> counts;
  for (uint64_t seed = 1; seed <= 600; ++seed) {
    Placement placement({.own_zone = "a", .seed = seed, .link_mbps = 100});
    SpillState spill = before;
    const auto choice = placement.Choose(candidates, {}, request, spill);
    CHECK(choice.has_value());
    ++counts[choice->upstream];
  }
  return counts;
}

int InZone(const std::map<std::string, int>& counts, char zone) {
  int sum = 0;
  for (const auto& [id, count] : counts) {
    sum += id.front() == zone ? count : 0;
  }
  return sum;
}

TEST_GROUP(Placement){};

// Guards against ingresses that all choose the upstream with the shortest wait
// in the same reports.
TEST(Placement, IngressesWithTheSameReportsSpreadTheirRequests) {
  Candidates candidates = MakeZone("a", 20, Millis(200));
  candidates[7].reported_wait = Millis(0);
  const auto counts = Place(candidates);
  // An even spread is 30 for each; two choices give the best twice that.
  CHECK(counts.at("a7") > 40);
  for (const auto& [id, count] : counts) {
    CHECK(count < 90);
  }
}

// Guards against requests that leave their zone although it has room, or
// although all zones are equally busy.
TEST(Placement, TheOwnZoneIsUsedUnlessAnotherIsSoonerByMoreThanTheHop) {
  LONGS_EQUAL(600, InZone(Place(MakeZone("a", 9, Millis(0)) +
                                MakeZone("b", 9, Millis(0))),
                          'a'));
  Candidates uneven =
      MakeZone("a", 9, Millis(200)) + MakeZone("b", 9, Millis(200));
  for (size_t i = 0; i < uneven.size(); i += 2) {
    uneven[i].reported_wait = Millis(0);
  }
  LONGS_EQUAL(600, InZone(Place(uneven), 'a'));
  LONGS_EQUAL(600, InZone(Place(MakeZone("a", 9, Millis(200)) +
                                MakeZone("b", 9, Millis(0))),
                          'b'));
}

// Guards against a body that takes longer to another zone than the wait at
// home, and against one that crosses zones twice.
TEST(Placement, ALargeBodyStaysInItsZone) {
  const Candidates candidates =
      MakeZone("a", 9, Millis(200)) + MakeZone("b", 9, Millis(0));
  // 4 MB over 100 Mbit/s are 320 ms.
  LONGS_EQUAL(600, InZone(Place(candidates, {.body_bytes = 4'000'000}), 'a'));
  LONGS_EQUAL(600, InZone(Place(candidates, {.has_crossed_zones = true}), 'a'));
  LONGS_EQUAL(600, InZone(Place(MakeZone("b", 9, Millis(0)),
                                {.has_crossed_zones = true}),
                          'b'));
}

// Guards against requests that leave and return with each report.
TEST(Placement, SpillBeginsLaterThanItEnds) {
  const Candidates candidates =
      MakeZone("a", 9, Millis(50)) + MakeZone("b", 9, Millis(0));
  LONGS_EQUAL(600, InZone(Place(candidates), 'a'));
  LONGS_EQUAL(600, InZone(Place(candidates, {}, {.spilling = true}), 'b'));
  LONGS_EQUAL(600, InZone(Place(MakeZone("a", 9, Millis(15)) +
                                    MakeZone("b", 9, Millis(0)),
                                {}, {.spilling = true}),
                          'a'));
}

// Guards against a choice by what was true some time ago, and against a burst
// of this host to the upstream whose report it has.
TEST(Placement, OldReportsAndOwnRequestsCount) {
  Candidates candidates = MakeZone("a", 4, Millis(100));
  candidates[0].reported_wait = Millis(0);
  const int fresh = Place(candidates)["a0"];
  candidates[0].age = Millis(4'900);
  const int old = Place(candidates)["a0"];
  CHECK(fresh > 240);
  CHECK(old < 200);
  candidates[0].age = Millis(0);
  candidates[0].sent_since_report = 20;
  CHECK(Place(candidates)["a0"] < 60);
}

// Guards against a slow upstream that has room because it is avoided.
TEST(Placement, ASlowUpstreamIsNotPreferredForItsRoom) {
  Candidates candidates = MakeZone("a", 8, Millis(100));
  candidates[0].reported_wait = Millis(0);
  candidates[0].view.latency = Millis(3'000);
  CHECK(Place(candidates)["a0"] < 30);
}

// Guards against an upstream that has room because it fails requests quickly.
TEST(Placement, AnUpstreamThatFailsQuicklyIsNotPreferredForItsRoom) {
  Candidates candidates = MakeZone("a", 8, Millis(100));
  candidates[0].reported_wait = Millis(0);
  candidates[0].view.failure_probability = 0.9;
  CHECK(Place(candidates)["a0"] < 30);
}

TEST(Placement, ARequestThatCantBeSentAgainAvoidsUpstreamsThatAreLikelyToFail) {
  Candidates candidates = MakeZone("a", 6, Millis(100));
  for (int i : {0, 1}) {
    candidates[i].reported_wait = Millis(0);
    candidates[i].view.failure_probability = 0.9;
  }
  const auto counts =
      Place(candidates, {.health = HealthPreference::kLeastLikelyToFail});
  CHECK(600 - counts.at("a2") - counts.at("a3") - counts.at("a4") -
            counts.at("a5") <
        40);
}

// Guards against callers that wait to learn what reports tell already, and
// against refusals that rest on old reports or on a part of the upstreams.
TEST(Placement, NoRoomIsKnownFromYoungReportsOfAllUpstreams) {
  Placement placement({.own_zone = "a"});
  Candidates candidates =
      MakeZone("a", 3, Millis(2'000)) + MakeZone("b", 3, Millis(1'500));
  candidates[1].age = Millis(400);
  const auto no_room = placement.FindNoRoom(candidates, {}, Millis(1'000));
  CHECK(no_room.has_value());
  CHECK(no_room->retry_after >= Millis(500));
  CHECK(no_room->retry_after <= Millis(750));
  CHECK(no_room->age == Millis(400));
  CHECK_FALSE(placement.FindNoRoom(candidates, {}, Millis(1'550)).has_value());
  candidates[1].age = Millis(600);
  CHECK_FALSE(placement.FindNoRoom(candidates, {}, Millis(1'000)).has_value());
  candidates[1] = {.view = {.id = "a1", .zone = "a"}};
  CHECK_FALSE(placement.FindNoRoom(candidates, {}, Millis(1'000)).has_value());
  candidates[1].view.path_open = false;
  CHECK(placement.FindNoRoom(candidates, {}, Millis(1'000)).has_value());
}

/// Three zones of upstreams with slots and queues. Each zone has ingresses that
/// know an upstream only from its last reply to them.
class ZonesSimulation {
 public:
  static constexpr int kZones = 3;
  static constexpr int kUpstreams = 8;
  static constexpr int kSlots = 15;
  static constexpr int kIngresses = 6;
  static constexpr int kRunMillis = 300;
  static constexpr int kTries = 3;
  static constexpr int kMaxWaitMillis = 500;

  ZonesSimulation() : free_at(kZones * kUpstreams) {
    for (uint64_t i = 0; i < kZones * kIngresses; ++i) {
      const std::string zone(1, static_cast<char>('a' + i / kIngresses));
      this->ingresses.push_back(
          {.placement = Placement({.own_zone = zone, .seed = i + 1}),
           .known = this->Unknown(),
           .heard_at = std::vector<int>(kZones * kUpstreams)});
    }
  }

  /// Sends requests for `seconds`, in each millisecond `per_milli` to the
  /// ingresses of each zone.
  void Run(int seconds, const std::array<double, kZones>& per_milli) {
    std::mt19937_64 random(1);
    for (int now = 0; now < seconds * 1'000; ++now) {
      for (int zone = 0; zone < kZones; ++zone) {
        std::poisson_distribution<int> arrivals(per_milli.at(zone));
        for (int i = arrivals(random); i > 0; --i) {
          this->Send(zone, zone * kIngresses + static_cast<int>(random() % 6),
                     now, kRunMillis / 2 + static_cast<int>(random() % 300));
        }
      }
    }
  }

  int requests = 0;
  int refused_with_room = 0;
  int crossed_from_other_zones = 0;
  int crossed_from_first_zone = 0;
  int reservations = 0;

 private:
  struct Ingress {
    Placement placement;
    Candidates known;
    std::vector<int> heard_at;
    SpillState spill;
  };

  static Candidates Unknown() {
    Candidates all;
    for (const char* zone : {"a", "b", "c"}) {
      for (auto& each : MakeZone(zone, kUpstreams, {})) {
        each.reported_wait.reset();
        all.push_back(each);
      }
    }
    return all;
  }

  /// Returns the slot of an upstream that is free first.
  int& FirstSlot(size_t upstream) {
    auto& slots = this->free_at[upstream];
    return *std::min_element(slots.begin(), slots.end());
  }

  void Send(int zone, int at, int now, int run) {
    ++this->requests;
    Ingress& ingress = this->ingresses[static_cast<size_t>(at)];
    std::set<std::string> tried;
    size_t best = 0;
    for (int i = 0; i < kTries; ++i) {
      const auto choice = this->Choose(ingress, tried, now);
      const auto chosen = static_cast<size_t>(
          (choice.upstream[0] - 'a') * kUpstreams + choice.upstream[1] - '0');
      tried.insert(choice.upstream);
      ++this->reservations;
      const int wait = std::max(0, this->FirstSlot(chosen) - now);
      ingress.known[chosen].reported_wait = Millis(wait);
      ingress.heard_at[chosen] = now;
      if (choice.expects_wait || wait == 0) {
        best = chosen;
        break;
      }
      if (i == 0 || this->FirstSlot(chosen) < this->FirstSlot(best)) {
        best = chosen;
      }
      this->reservations += i == kTries - 1 ? 1 : 0;
    }
    int& slot = this->FirstSlot(best);
    if (slot - now > kMaxWaitMillis) {
      this->refused_with_room += this->SomeZoneHasRoom(now) ? 1 : 0;
      return;
    }
    slot = std::max(slot, now) + run;
    if (static_cast<int>(best) / kUpstreams != zone) {
      ++(zone == 0 ? this->crossed_from_first_zone
                   : this->crossed_from_other_zones);
    }
  }

  static PlacementChoice Choose(Ingress& ingress,
                                const std::set<std::string>& tried,
                                int now) {
    for (size_t i = 0; i < ingress.known.size(); ++i) {
      ingress.known[i].age = Millis(now - ingress.heard_at[i]);
    }
    return *ingress.placement.Choose(
        ingress.known, tried, {.objective = Millis(1'000)}, ingress.spill);
  }

  bool SomeZoneHasRoom(int now) {
    std::array<int, kZones> running{};
    for (size_t i = 0; i < this->free_at.size(); ++i) {
      running.at(i / kUpstreams) += static_cast<int>(
          std::count_if(this->free_at[i].begin(), this->free_at[i].end(),
                        [&](int at) { return at > now; }));
    }
    return *std::min_element(running.begin(), running.end()) <
           kUpstreams * kSlots * 9 / 10;
  }

  /// Times at which each slot is free, by upstream.
  std::vector<std::array<int, kSlots>> free_at;
  std::vector<Ingress> ingresses;
};

// Guards against refusals in a zone with 40 % more demand than the mean while
// others have a tenth of their slots free, and against needless bytes between
// zones.
TEST(Placement, AZoneWithMoreDemandUsesTheRoomOfOthers) {
  // 8 upstreams with 15 slots run 0.4 requests a millisecond.
  constexpr double kCapacity = 0.4;
  ZonesSimulation busy;
  busy.Run(60, {kCapacity * 0.8 * 1.4, kCapacity * 0.64, kCapacity * 0.64});
  LONGS_EQUAL(0, busy.refused_with_room);
  CHECK(busy.crossed_from_first_zone > 0);
  // A random choice with six tries, three of them in the own zone, sends 4,031
  // of these requests to other zones and makes 90,497 reservations.
  CHECK(busy.crossed_from_first_zone < 4'031);
  CHECK(busy.crossed_from_other_zones < busy.requests / 100);
  CHECK(busy.reservations < 90'497);
  ZonesSimulation even;
  even.Run(60, {kCapacity * 0.8, kCapacity * 0.8, kCapacity * 0.8});
  CHECK(even.crossed_from_first_zone + even.crossed_from_other_zones <
        even.requests / 100);
}

}  // namespace
}  // namespace kingcupstair::balancing
