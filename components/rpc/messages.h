#ifndef COMPONENTS_RPC_MESSAGES_H_
#define COMPONENTS_RPC_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "components/limits/share_lender.h"
#include "components/membership/directory.h"
#include "components/membership/host_record.h"
#include "components/once/crash_ledger.h"
#include "components/once/outcome.h"
#include "components/once/run_ledger.h"

namespace kingcupstair::rpc {

/// Loans that a pool gives back before they end.
struct ReturnedLoans {
  std::vector<limits::ShardId> shards;
  /// Offers with a higher mark are taken again.
  uint64_t mark = 0;
  /// The pool is about to end.
  bool leaving = false;

  bool operator==(const ReturnedLoans&) const = default;
};

/// An ask for leave to send a request a second time.
struct RetryCall {
  std::string organisation;
  std::string service;
  /// Requests for the service that the asker took without permits since it
  /// asked last.
  int uncounted = 0;

  bool operator==(const RetryCall&) const = default;
};

/// An ask for permits.
struct PermitCall {
  std::string organisation;
  /// The service that the requests are for; the pool counts them for its part
  /// of the retry budget.
  std::string service;
  int wanted = 1;
  /// To be asked for at the pool, by a host that is not the pool.
  bool relay = false;
  /// The asker's share, lent to the pool; no shards when it lends nothing.
  limits::LoanOffer offer;

  bool operator==(const PermitCall&) const = default;
};

/// What two hosts tell each other at a probe.
struct GossipMessage {
  std::string host;
  uint64_t digest = 0;
  uint64_t revision = 0;
  /// What has changed lately as the sender knows it.
  std::vector<membership::RecentVersion> recent;
  /// Hashes of hosts of which the sender wants to know more.
  std::vector<uint64_t> wanted;
  std::vector<membership::HostUpdate> updates;
  std::vector<once::AgedEvidence> crashes;

  bool operator==(const GossipMessage&) const = default;
};

/// What comparing all versions led to: what the caller lacks, and the hashes of
/// hosts of which it knows more.
struct SyncAnswer {
  std::vector<membership::HostUpdate> updates;
  std::vector<uint64_t> wanted;

  bool operator==(const SyncAnswer&) const = default;
};

/// The outcome of a run and how its upstream stands after it.
struct RunResult {
  once::Outcome outcome;
  membership::UpstreamRecord report;
  int in_flight = 0;
  int queued = 0;

  bool operator==(const RunResult&) const = default;
};

/// Whether a slot was reserved, and how its upstream stands.
struct SlotAnswer {
  bool granted = false;
  /// Why not, if it was not.
  once::NotRun refusal;
  membership::UpstreamRecord report;
  int in_flight = 0;
  int queued = 0;

  bool operator==(const SlotAnswer&) const = default;
};

/// The host asked is another life of that address and knows nothing.
struct OtherIncarnation {
  bool operator==(const OtherIncarnation&) const = default;
};

/// The answer to a query for the fate of a request.
using ResolveAnswer = std::variant<once::Resolution, OtherIncarnation>;

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_MESSAGES_H_
