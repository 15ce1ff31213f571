#ifndef COMPONENTS_RPC_MESSAGES_H_
#define COMPONENTS_RPC_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "components/limits/share_lender.h"
#include "components/membership/directory.h"
#include "components/membership/host_record.h"
#include "components/membership/load_update.h"
#include "components/once/crash_ledger.h"
#include "components/once/outcome.h"
#include "components/once/run_ledger.h"
#include "components/retry/call_counts.h"

namespace kingcupstair::rpc {

/// Loans that a pool host returns to their lender before they expire.
struct ReturnedLoans {
  std::vector<limits::ShardId> shards;
  /// Loan sequence number of the return. The pool host accepts loans of these
  /// shards again only from offers with a higher number.
  uint64_t loan_sequence_number = 0;
  /// The pool host is shutting down.
  bool leaving = false;

  bool operator==(const ReturnedLoans&) const = default;
};

/// A request to the pool host for one retry token.
struct RetryTokenRequest {
  /// The organisation of the request, or the sending host if it has none.
  /// Selects the pool.
  std::string organisation;
  std::string service;
  /// Requests to the service that needed no permit, since the sender's previous
  /// message of this kind. The pool host counts them for the retry budget.
  int requests_without_permit = 0;
  /// Calls that the sender has seen since its previous message to a pool host.
  /// The pool host counts them in the retry budgets.
  std::vector<retry::CallCounts> call_counts;

  bool operator==(const RetryTokenRequest&) const = default;
};

/// A request for permits.
struct PermitRequest {
  std::string organisation;
  /// The service that the requests go to. The pool host counts the granted
  /// permits for the retry budget of the service.
  std::string service;
  /// Number of permits asked for.
  int wanted = 1;
  /// The receiver is not the pool host and forwards the request to it.
  bool relay = false;
  /// Loan of the sender's share to the pool host. Without shards, the message
  /// offers no loan.
  limits::LoanOffer offer;
  /// As in RetryTokenRequest.
  std::vector<retry::CallCounts> call_counts;

  bool operator==(const PermitRequest&) const = default;
};

/// The message of a probe and of its reply.
struct GossipMessage {
  std::string host;
  /// Hash over the versions of all records in the sender's directory. Two
  /// directories with the same versions have the same digest.
  uint64_t digest = 0;
  /// Revision of the sender's configuration.
  uint64_t revision = 0;
  /// Latest known era of the store.
  uint64_t store_era = 0;
  /// Versions of the records that changed recently in the sender's directory.
  std::vector<membership::RecentVersion> recent;
  /// Hashes of the hosts whose records the sender requests.
  std::vector<uint64_t> wanted;
  std::vector<membership::HostUpdate> updates;
  /// Only in messages between hosts of one availability zone.
  std::vector<membership::LoadUpdate> loads;
  std::vector<once::AgedEvidence> crashes;
  /// Evidence that was cleared.
  std::vector<once::AgedEvidence> clearances;

  bool operator==(const GossipMessage&) const = default;
};

/// The reply to a comparison of all record versions: the records that are newer
/// at the receiver, and the hashes of the hosts whose records are newer at the
/// sender.
struct SyncAnswer {
  std::vector<membership::HostUpdate> updates;
  std::vector<uint64_t> wanted;

  bool operator==(const SyncAnswer&) const = default;
};

/// The outcome of an attempt, and the load report of its upstream after it.
struct RunResult {
  once::Outcome outcome;
  membership::UpstreamRecord report;
  /// Requests that run at the upstream.
  int in_flight = 0;
  /// Requests that wait at the guard for a slot of the upstream.
  int queued = 0;

  bool operator==(const RunResult&) const = default;
};

/// The reply to a slot request, and the load report of the upstream.
struct SlotAnswer {
  /// A slot is reserved.
  bool granted = false;
  /// Why no slot is reserved. Only set if `granted` is false.
  once::NotRun refusal;
  membership::UpstreamRecord report;
  /// Requests that run at the upstream.
  int in_flight = 0;
  /// Requests that wait at the guard for a slot of the upstream.
  int queued = 0;

  bool operator==(const SlotAnswer&) const = default;
};

/// The process at the address is another incarnation of the host and has no
/// record of the request.
struct OtherIncarnation {
  bool operator==(const OtherIncarnation&) const = default;
};

/// The reply to a query for the outcome of an attempt.
using ResolveAnswer = std::variant<once::Resolution, OtherIncarnation>;

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_MESSAGES_H_
