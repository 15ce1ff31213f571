#ifndef COMPONENTS_RPC_PEER_CLIENTS_H_
#define COMPONENTS_RPC_PEER_CLIENTS_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "components/base/time.h"
#include "components/limits/rate_pool.h"
#include "components/membership/directory.h"
#include "components/once/run_request.h"
#include "components/rpc/loop.h"
#include "components/rpc/messages.h"

namespace kingcupstair::rpc {

/// How a submitted run can fail to bring a result.
enum class SubmitStage {
  kNotAccepted,  ///< No word that the run was accepted came in time.
  kNoResult,     ///< Accepted, and then the connection or the time ran out.
};

/// What came of submitting a run.
struct SubmitResult {
  RunResult run;
  SubmitStage stage = SubmitStage::kNotAccepted;
  absl::Status status;

  bool ok() const { return this->status.ok(); }
};

/// Calls to other hosts, one connection to each. A call that gets no answer in
/// time gives its connection up if that has brought none for a second, so the
/// next call opens a fresh one. All calls suspend the calling fiber.
class PeerClients {
 public:
  struct Options {
    std::string own_host;
    uint64_t incarnation = 0;
    std::string fleet_key;
  };

  PeerClients(Loop& loop, Options options);
  ~PeerClients();

  absl::StatusOr<GossipMessage> Gossip(const std::string& host,
                                       const GossipMessage& message,
                                       Duration timeout);
  absl::StatusOr<SyncAnswer> Sync(
      const std::string& host,
      const std::map<std::string, membership::RecordVersion>& versions,
      Duration timeout);
  absl::StatusOr<bool> Probe(const std::string& helper,
                             const std::string& target,
                             Duration timeout);
  absl::StatusOr<std::string> Head(const std::string& host, Duration timeout);
  absl::StatusOr<std::vector<std::string>> Chunks(
      const std::string& host,
      const std::vector<std::string>& ids,
      Duration timeout);
  absl::StatusOr<std::vector<limits::LoanGrant>> Lend(
      const std::string& host,
      const std::vector<limits::ShardId>& shards,
      uint64_t mark,
      Duration timeout);
  absl::Status GiveBack(const std::string& host,
                        const ReturnedLoans& returned,
                        Duration timeout);
  absl::StatusOr<limits::PermitGrant> Acquire(const std::string& host,
                                              const PermitCall& call,
                                              Duration timeout);
  absl::StatusOr<bool> Retry(const std::string& host,
                             const RetryCall& call,
                             Duration timeout);
  absl::StatusOr<ResolveAnswer> Resolve(const std::string& host,
                                        const std::string& request_id,
                                        uint64_t incarnation,
                                        Duration timeout);

  /// Asks for a slot. An error says that none is held for this request, or
  /// only until the reservation lapses.
  absl::StatusOr<SlotAnswer> Reserve(const std::string& host,
                                     const once::SlotRequest& request,
                                     Duration timeout);

  /// Tells the host that nobody waits for a request any more.
  absl::Status Cancel(const std::string& host,
                      const std::string& request_id,
                      uint64_t incarnation,
                      Duration timeout);

  /// Submits a run. `accept_timeout` bounds the wait for word that it was
  /// accepted, `result_timeout` the wait for the result after that.
  SubmitResult Submit(const std::string& host,
                      const once::RunRequest& request,
                      Duration accept_timeout,
                      Duration result_timeout);

 private:
  struct Link;
  struct State;

  template <typename T, typename Start>
  absl::StatusOr<T> Call(const std::string& host,
                         const char* step,
                         Duration timeout,
                         Start start);
  Link& Connect(const std::string& host);
  void NoteAnswer(const std::string& host, uint64_t number);
  void NoteFailure(const std::string& host,
                   uint64_t number,
                   const kj::Exception& error);

  Loop& loop;
  Options options;
  std::unique_ptr<State> state;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_PEER_CLIENTS_H_
