#ifndef COMPONENTS_MEMBERSHIP_HOST_RECORD_H_
#define COMPONENTS_MEMBERSHIP_HOST_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::membership {

/// What a host tells of one of its upstreams.
struct UpstreamRecord {
  std::string id;
  std::string service;
  int slots = 1;
  int limit = 1;
  Duration latency{};
  double error_share = 0;
  uint64_t finished = 0;

  bool operator==(const UpstreamRecord&) const = default;
};

/// What a host tells of itself. Only the host itself makes new versions.
struct HostRecord {
  /// The address at which other hosts reach it; names the host.
  std::string host;
  /// Rises with each start of the process.
  uint64_t incarnation = 0;
  /// Rises with each change within an incarnation.
  uint64_t version = 0;
  std::string zone;
  std::string region;
  std::string admin;
  /// The host is going away and takes no new work.
  bool leaving = false;
  /// The pools of rates that it keeps, a bit each.
  uint32_t pools = 0;
  std::vector<UpstreamRecord> upstreams;

  bool operator==(const HostRecord&) const = default;
};

/// True when `after` differs from `before` by so much that peers should hear of
/// it before the next answer from there tells them: a change of state, or of
/// latency, errors or limit by a large step.
bool WorthPublishing(const HostRecord& before, const HostRecord& after);

/// Whether both tell of the same upstreams and pools in the same place, however
/// well these do.
bool HasSameUpstreams(const HostRecord& left, const HostRecord& right);

/// Whether a host is thought to run; a later one outweighs an earlier one at
/// the same version.
enum class Liveness { kAlive, kSuspect, kDead };

const char* ToText(Liveness liveness);

/// The unit of gossip: a record and what the sender thinks of its host.
struct HostUpdate {
  HostRecord record;
  Liveness liveness = Liveness::kAlive;

  bool operator==(const HostUpdate&) const = default;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_HOST_RECORD_H_
