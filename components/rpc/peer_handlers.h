#ifndef COMPONENTS_RPC_PEER_HANDLERS_H_
#define COMPONENTS_RPC_PEER_HANDLERS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "components/limits/rate_pool.h"
#include "components/membership/directory.h"
#include "components/once/run_request.h"
#include "components/rpc/messages.h"

namespace kingcupstair::rpc {

/// Called once with the result of a submitted run, from any thread.
using RunDone = std::function<void(RunResult)>;

/// What this host does for its peers. All but `submit` and `probe` answer at
/// once; all are called on the RPC loop's thread.
struct PeerHandlers {
  std::function<GossipMessage(const GossipMessage&)> gossip;
  std::function<SyncAnswer(
      const std::map<std::string, membership::RecordVersion>&)>
      sync;
  /// Answers from any thread whether the host could be reached from here.
  std::function<void(const std::string& host, std::function<void(bool)> done)>
      probe;
  std::function<std::string()> head;
  std::function<std::vector<std::string>(const std::vector<std::string>&)>
      chunks;
  std::function<limits::LoanGrant(limits::ShardId,
                                  const std::string& asker,
                                  uint64_t mark)>
      lend;
  std::function<void(limits::ShardId, const std::string& asker, uint64_t mark)>
      give_back;
  /// A host that pooled rates is about to end.
  std::function<void(const std::string& host)> leaves;
  /// Takes permits from the pool of this host, or for `relay` from whichever
  /// host pools them; calls `done` from any thread.
  std::function<void(const PermitCall&,
                     const std::string& asker,
                     std::function<void(limits::PermitGrant)> done)>
      acquire;
  /// Leave from the pool of this host to send a request a second time.
  std::function<bool(const RetryCall&)> retry;
  /// Accepts the run at once and calls `done` when it has ended.
  std::function<void(const once::RunRequest&, RunDone done)> submit;
  /// Reserves a slot and calls `done` with the answer, from any thread.
  std::function<void(const once::SlotRequest&,
                     std::function<void(SlotAnswer)> done)>
      reserve;
  std::function<void(const std::string& request_id, uint64_t incarnation)>
      cancel;
  std::function<ResolveAnswer(const std::string& request_id,
                              uint64_t incarnation)>
      resolve;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_PEER_HANDLERS_H_
