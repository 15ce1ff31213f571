#ifndef COMPONENTS_MEMBERSHIP_LOAD_UPDATE_H_
#define COMPONENTS_MEMBERSHIP_LOAD_UPDATE_H_

#include <cstdint>
#include <vector>

#include "components/membership/host_record.h"

namespace kingcupstair::membership {

/// Hosts that receive a change of a record in which only the load of the
/// upstreams differs.
enum class LoadScope {
  kFleet,  ///< All hosts, with a new version of the record.
  kZone,   ///< Hosts of the same availability zone, with a load update.
};

/// Returns the scope for a host whose network link has this bandwidth in
/// megabits a second; 0 if the bandwidth is not known.
LoadScope LoadScopeFor(double link_mbps);

/// Load of one upstream: the fields of UpstreamRecord that change with traffic.
struct UpstreamLoad {
  int limit = 1;
  Duration latency{};
  double error_share = 0;
  uint64_t finished = 0;
  double failure_probability = 0;
  double named_rate = 0;
  Duration remaining_work{};

  bool operator==(const UpstreamLoad&) const = default;
};

/// Load of the upstreams of one host, for hosts that have its record.
struct LoadUpdate {
  /// Hash of the host's name.
  uint64_t host_hash = 0;
  /// Incarnation and version of the record that the loads belong to.
  uint64_t incarnation = 0;
  uint64_t version = 0;
  /// Increases with each load update of the same record version.
  uint64_t sequence = 0;
  /// In the order of the upstreams in the record.
  std::vector<UpstreamLoad> loads;

  bool operator==(const LoadUpdate&) const = default;
};

/// Returns the loads of the upstreams in `record`.
std::vector<UpstreamLoad> LoadsOf(const HostRecord& record);

/// Replaces the loads in `record` by those of `update` if `update` belongs to
/// this version of the record and is newer than its loads. Returns whether it
/// did.
bool ApplyLoads(const LoadUpdate& update, HostRecord& record);

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_LOAD_UPDATE_H_
