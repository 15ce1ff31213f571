#ifndef COMPONENTS_MEMBERSHIP_HOST_RECORD_H_
#define COMPONENTS_MEMBERSHIP_HOST_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::membership {

/// One upstream in the record of its host, with its load report.
struct UpstreamRecord {
  std::string id;
  std::string service;
  /// Version of the program that the upstream runs; may be empty.
  std::string version;
  /// Number of running slots that the upstream announced.
  int slots = 1;
  /// Current concurrency limit at the guard.
  int limit = 1;
  Duration latency{};
  /// Fraction of failed requests, 0 to 1.
  double error_share = 0;
  /// Requests that ended since the upstream started.
  uint64_t finished = 0;
  /// Probability that the upstream is in a fault episode, as its guard sees it.
  double failure_probability = 0;
  /// Limit on new requests a second that the upstream has named; 0 for none.
  double named_rate = 0;
  /// Expected time until a new request gets a slot; 0 if not known. Not
  /// published on its own.
  Duration remaining_work{};

  bool operator==(const UpstreamRecord&) const = default;
};

/// Verdict that a version of a service is faulty.
struct VersionRollback {
  std::string service;
  std::string version;

  bool operator==(const VersionRollback&) const = default;
};

/// What a host publishes about itself. Only this host creates new versions.
struct HostRecord {
  /// Address at which other hosts reach this host. Also the name of the host.
  std::string host;
  /// Number of the process start. Increases with each start.
  uint64_t incarnation = 0;
  /// Increases with each change within an incarnation.
  uint64_t version = 0;
  /// Number of the loads in `upstreams` within this version. Increases with
  /// each load update.
  uint64_t load_sequence = 0;
  std::string zone;
  std::string region;
  std::string admin;
  /// The host is shutting down and accepts no new requests.
  bool leaving = false;
  /// Permit pools that this host keeps. Bit n stands for pool n.
  uint32_t pools = 0;
  std::vector<UpstreamRecord> upstreams;
  /// Starts of upstreams whose departure this host has acknowledged, in order.
  /// Peers return them to the host when it restarts.
  std::vector<std::string> departures;
  /// Versions that this host has rolled back, while their orders stand.
  std::vector<VersionRollback> rollbacks;

  bool operator==(const HostRecord&) const = default;
};

/// Returns true if `after` differs so much from `before` that the host has to
/// publish its record at once: a change of state, or a large change of latency,
/// errors or limit. Peers get smaller changes with the next response from this
/// host, which carries a load report.
bool HasSignificantChange(const HostRecord& before, const HostRecord& after);

/// Returns true if both records have the same host, leaving state, pools,
/// rollbacks and upstreams with the same version and slots, and `after` has no
/// departure that `before` lacks. Limit, latency and errors are not compared.
bool HasSameUpstreams(const HostRecord& after, const HostRecord& before);

/// State of a host in the failure detection. At the same incarnation and
/// version, a later value of this list replaces an earlier one.
enum class Liveness { kAlive, kSuspect, kDead };

/// Returns the name of the state in lower case.
const char* ToText(Liveness liveness);

/// Unit of gossip: the record of a host and its liveness as the sender sees it.
struct HostUpdate {
  HostRecord record;
  Liveness liveness = Liveness::kAlive;

  bool operator==(const HostUpdate&) const = default;
};

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_HOST_RECORD_H_
