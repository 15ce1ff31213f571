#include "components/ingress/fleet_board.h"

#include <CppUTest/TestHarness.h>

#include "tests/support/times.h"

namespace kingcupstair::ingress {
namespace {

const char* const kService = "lote";

/// Two hosts, h0 in zone a and h1 in zone b, with an upstream each.
std::vector<membership::HostRecord> MakeHosts(uint64_t version,
                                              Duration remaining_work) {
  std::vector<membership::HostRecord> hosts;
  for (const std::string zone : {"a", "b"}) {
    hosts.push_back({.host = "host-" + zone,
                     .incarnation = 1,
                     .version = version,
                     .zone = zone,
                     .upstreams = {{.id = "u-" + zone,
                                    .service = kService,
                                    .limit = 15,
                                    .latency = Millis(300),
                                    .remaining_work = remaining_work}}});
  }
  return hosts;
}

rpc::RunResult Reply(const std::string& id, Duration remaining_work) {
  return {.report = {.id = id,
                     .service = kService,
                     .limit = 15,
                     .latency = Millis(300),
                     .remaining_work = remaining_work},
          .in_flight = 15};
}

TEST_GROUP(FleetBoard){};

// Guards against a record that is listed again and again and counts as a new
// report each time, and against placement by work without any report.
TEST(FleetBoard, AListedRecordIsAReportOnlyWhenItIsNew) {
  UpstreamRegistry registry({.own_zone = "a", .place_by_work = true});
  registry.Update(MakeHosts(1, {}), {}, At(0));
  CHECK_FALSE(registry.PlacesByWork(kService, At(0)));
  registry.Update(MakeHosts(2, Millis(100)), {}, At(0));
  CHECK(registry.PlacesByWork(kService, At(4'000)));
  registry.Update(MakeHosts(2, Millis(100)), {}, At(4'000));
  CHECK_FALSE(registry.PlacesByWork(kService, At(6'000)));
  registry.Update(MakeHosts(3, Millis(100)), {}, At(6'000));
  CHECK(registry.PlacesByWork(kService, At(6'000)));
  UpstreamRegistry by_default({.own_zone = "a"});
  by_default.Update(MakeHosts(1, Millis(100)), {}, At(0));
  CHECK_FALSE(by_default.PlacesByWork(kService, At(0)));
}

// Guards against a body that goes to another zone unnoticed, and against
// refusals that a record from before the last reply would justify.
TEST(FleetBoard, PlacesAndRefusesByTheLastReplies) {
  UpstreamRegistry registry({.own_zone = "a", .place_by_work = true});
  registry.Update(MakeHosts(1, {}), {}, At(0));
  registry.OnLoadReport(Reply("u-a", Millis(2'000)), At(0));
  registry.OnLoadReport(Reply("u-b", Millis(1)), At(0));
  const auto placed =
      registry.Place(kService, {}, {.objective = Millis(1'000)}, At(1));
  CHECK(placed->choice.upstream == "u-b");
  CHECK(placed->choice.in_other_zone);
  CHECK_FALSE(
      registry.FindNoRoom(kService, {}, Millis(500), At(1)).has_value());
  registry.OnLoadReport(Reply("u-b", Millis(1'500)), At(100));
  const auto no_room = registry.FindNoRoom(kService, {}, Millis(500), At(200));
  CHECK(no_room->age == Millis(200));
  registry.OnLoadReport(Reply("u-b", Millis(1)), At(300));
  registry.Update(MakeHosts(2, Millis(1'500)), {}, At(400));
  CHECK_FALSE(
      registry.FindNoRoom(kService, {}, Millis(500), At(400)).has_value());
}

// Guards against guards that report no remaining work and count as idle.
TEST(FleetBoard, TheWaitIsKnownFromTheRequestsAhead) {
  UpstreamRegistry registry({.own_zone = "a", .place_by_work = true});
  registry.Update(MakeHosts(1, {}), {}, At(0));
  rpc::RunResult busy = Reply("u-a", {});
  busy.queued = 44;
  registry.OnLoadReport(busy, At(0));
  registry.OnLoadReport(Reply("u-b", {}), At(0));
  // 45 requests ahead of 15 slots, 300 ms each.
  CHECK(registry.FindNoRoom(kService, {"u-b"}, Millis(850), At(0)).has_value());
  CHECK_FALSE(
      registry.FindNoRoom(kService, {"u-b"}, Millis(900), At(0)).has_value());
}

}  // namespace
}  // namespace kingcupstair::ingress
