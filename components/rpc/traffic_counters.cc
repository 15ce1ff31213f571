#include "components/rpc/traffic_counters.h"

#include <utility>

namespace kingcupstair::rpc {
namespace {

constexpr std::array<const char*, kTrafficPurposes> kPurposeNames = {
    "run",    "slot",    "permits",       "loans",
    "gossip", "records", "configuration", "departures"};
constexpr std::array<const char*, kZoneRelations> kRelationNames = {
    "unknown", "own", "other", "other_region"};

}  // namespace

TrafficCounters::TrafficCounters(metrics::Counters& counters,
                                 RelationOf relation_of)
    : relation_of(std::move(relation_of)) {
  for (size_t purpose = 0; purpose < kTrafficPurposes; ++purpose) {
    for (size_t relation = 0; relation < kZoneRelations; ++relation) {
      this->bytes[purpose][relation] = &counters.Reference(
          "kingcupstair_peer_bytes_total",
          {{.name = "purpose", .value = kPurposeNames[purpose]},
           {.name = "zone", .value = kRelationNames[relation]}});
    }
  }
}

void TrafficCounters::Add(TrafficPurpose purpose,
                          ZoneRelation relation,
                          uint64_t count) {
  this->bytes[static_cast<size_t>(purpose)][static_cast<size_t>(relation)]
      ->fetch_add(count, std::memory_order_relaxed);
}

void HostTraffic::Add(TrafficPurpose purpose, uint64_t bytes) {
  if (this->counters == nullptr) {
    return;
  }
  if (this->relation == ZoneRelation::kUnknown) {
    this->relation = this->counters->RelationTo(this->host);
  }
  this->counters->Add(purpose, this->relation, bytes);
}

}  // namespace kingcupstair::rpc
