#ifndef COMPONENTS_RPC_PEER_HANDLERS_H_
#define COMPONENTS_RPC_PEER_HANDLERS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "components/base/cancellation.h"
#include "components/limits/rate_pool.h"
#include "components/membership/directory.h"
#include "components/once/run_request.h"
#include "components/rpc/messages.h"

namespace kingcupstair::rpc {

/// Callback for the result of a submitted run: called once, from any thread.
using RunDone = std::function<void(RunResult)>;

/// Functions of this host that its peers call, one for each method of the wire
/// interface `Peer`, and `leaves` besides. All are called on the RPC loop's
/// thread and return at once. Those with a parameter `done` give their result
/// by calling it once, from any thread; the others return it.
struct PeerHandlers {
  /// Handles a probe and returns the reply to it.
  std::function<GossipMessage(const GossipMessage&)> gossip;
  /// Compares the versions of the sender's records with those of this host.
  std::function<SyncAnswer(
      const std::map<std::string, membership::RecordVersion>&)>
      sync;
  /// Probes `host` and calls `done` with true if it replied.
  std::function<void(const std::string& host, std::function<void(bool)> done)>
      probe;
  /// Returns the head of this host's configuration.
  std::function<std::string()> head;
  /// Returns the configuration chunks with the given ids.
  std::function<std::vector<std::string>(const std::vector<std::string>&)>
      chunks;
  /// Lends this host's share of a shard to `pool_host`, or renews the loan.
  /// `loan_sequence_number` orders the loans. A loan of fraction 0 is a
  /// refusal.
  std::function<limits::LoanGrant(limits::ShardId,
                                  const std::string& pool_host,
                                  uint64_t loan_sequence_number)>
      lend;
  /// Ends the block of this host's loans if `clearance` is its token. Returns
  /// the block that remains.
  std::function<limits::LoanBlock(uint64_t clearance)> loan_block;
  /// Drops all loans of `lenders`, which have restarted.
  std::function<void(const std::vector<std::string>& lenders)> drop_loans;
  /// Ends the loan of a shard that `pool_host` returns early, unless the loan
  /// was made with a higher sequence number than `loan_sequence_number`.
  std::function<void(limits::ShardId,
                     const std::string& pool_host,
                     uint64_t loan_sequence_number)>
      return_loans;
  /// Records that the pool host `host` is shutting down.
  std::function<void(const std::string& host)> pool_host_leaving;
  /// Acquires permits for the host `sender` from the pool of this host or, if
  /// `relay` is set, from the pool host of the shard.
  std::function<void(const PermitRequest&,
                     const std::string& sender,
                     std::function<void(limits::PermitGrant)> done)>
      acquire;
  /// Takes one retry token from the budget of this pool host. Returns false if
  /// the budget is spent.
  std::function<bool(const RetryTokenRequest&)> acquire_retry_token;
  /// Accepts a run and calls `done` when it has ended.
  std::function<void(const once::RunRequest&, RunDone done)> submit;
  /// Reserves a slot and calls `done` with the reply. Cancels `abandoned` if
  /// the reply is waited for no more before it is sent.
  std::function<void(const once::SlotRequest&,
                     CancellationPtr abandoned,
                     std::function<void(SlotAnswer)> done)>
      reserve;
  /// Cancels an attempt whose result is not needed any more.
  std::function<void(const std::string& request_id, uint64_t incarnation)>
      cancel;
  /// Returns what became of an attempt. Fences an attempt that this host has
  /// not accepted, or not yet forwarded to its upstream.
  std::function<ResolveAnswer(const std::string& request_id,
                              uint64_t incarnation)>
      resolve;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_PEER_HANDLERS_H_
