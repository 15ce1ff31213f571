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
#include "components/rpc/traffic_counters.h"

namespace kingcupstair::rpc {

/// The step at which a submitted run failed to bring a result.
enum class SubmitStage {
  kNotAccepted,  ///< The acceptance of the run did not arrive in time.
  kNoResult,     ///< Accepted, but the connection broke or the time ran out.
};

/// The result of submitting a run, or the error and the step that failed.
struct SubmitResult {
  /// Only valid if `status` is OK.
  RunResult run;
  /// Only valid if `status` is not OK.
  SubmitStage stage = SubmitStage::kNotAccepted;
  absl::Status status;

  bool ok() const { return this->status.ok(); }
};

/// Calls to other hosts over one connection to each. A call that fails destroys
/// its connection, so the next call opens a new one; a call that times out does
/// so only if the connection has brought no response for a second. A submitted
/// run that fails after its acceptance never destroys the connection. While
/// runs await their results, a connection that stays silent although the host
/// is called is destroyed, and these runs fail. All calls
/// suspend the calling fiber. Their status is DeadlineExceeded after a timeout,
/// and Unavailable after any other failure.
class PeerClients {
 public:
  struct Options {
    /// Name of this host.
    std::string own_host;
    uint64_t incarnation = 0;
    std::string fleet_key;
    /// Counts the bytes of the requests; may be null.
    TrafficCounters* traffic = nullptr;
  };

  PeerClients(EventLoop& loop, Options options);
  ~PeerClients();

  /// Probes `host` and returns its reply.
  absl::StatusOr<GossipMessage> Gossip(const std::string& host,
                                       const GossipMessage& message,
                                       Duration timeout);
  /// Returns whether `host` responds over a new connection within `timeout`. If
  /// so, and the present connection has brought no response for some time, that
  /// one is closed, and the next call opens another.
  bool RespondsOverNewConnection(const std::string& host, Duration timeout);
  /// Compares the versions of all records with those of `host`. `purpose` is
  /// kDepartures if the record of this host itself is asked for.
  absl::StatusOr<SyncAnswer> Sync(
      const std::string& host,
      const std::map<std::string, membership::RecordVersion>& versions,
      Duration timeout,
      TrafficPurpose purpose = TrafficPurpose::kRecords);
  /// Returns whether `helper` could reach `target`.
  absl::StatusOr<bool> Probe(const std::string& helper,
                             const std::string& target,
                             Duration timeout);
  /// Returns the head of the configuration of `host`.
  absl::StatusOr<std::string> Head(const std::string& host, Duration timeout);
  /// Returns the configuration chunks with the given ids.
  absl::StatusOr<std::vector<std::string>> Chunks(
      const std::string& host,
      const std::vector<std::string>& ids,
      Duration timeout);
  /// Borrows the share of `host` for each of `shards`, or renews the loans.
  /// `loan_sequence_number` orders the loans.
  absl::StatusOr<std::vector<limits::LoanGrant>> Lend(
      const std::string& host,
      const std::vector<limits::ShardId>& shards,
      uint64_t loan_sequence_number,
      Duration timeout);
  /// Ends the block of loans of `host` if `clearance` is its token, and returns
  /// the block that remains.
  absl::StatusOr<limits::LoanBlock> LoanBlock(const std::string& host,
                                              uint64_t clearance,
                                              Duration timeout);
  /// Has `host` drop the loans that it holds of `lenders`.
  absl::Status DropLoans(const std::string& host,
                         const std::vector<std::string>& lenders,
                         Duration timeout);
  /// Returns loans to `host` before they expire.
  absl::Status ReturnLoans(const std::string& host,
                           const ReturnedLoans& returned,
                           Duration timeout);
  /// Acquires permits from the pool host, directly or through `host`.
  absl::StatusOr<limits::PermitGrant> Acquire(const std::string& host,
                                              const PermitRequest& call,
                                              Duration timeout);
  /// Takes one retry token from the pool host `host`. Returns false if the
  /// retry budget is spent.
  absl::StatusOr<bool> AcquireRetryToken(const std::string& host,
                                         const RetryTokenRequest& call,
                                         Duration timeout);
  /// Returns what became of an attempt at `host`. The host fences an attempt
  /// that it has not accepted, or not yet forwarded to its upstream.
  /// `body_timeout` bounds the wait for a long response body after the answer.
  absl::StatusOr<ResolveAnswer> Resolve(const std::string& host,
                                        const std::string& request_id,
                                        uint64_t incarnation,
                                        Duration timeout,
                                        Duration body_timeout);

  /// Reserves a slot. After an error, either no slot is reserved for this
  /// request, or a slot is reserved until the reservation expires.
  absl::StatusOr<SlotAnswer> Reserve(const std::string& host,
                                     const once::SlotRequest& request,
                                     Duration timeout);

  /// Cancels an attempt at `host` whose result is not needed any more.
  absl::Status Cancel(const std::string& host,
                      const std::string& request_id,
                      uint64_t incarnation,
                      Duration timeout);

  /// Submits a run. `accept_timeout` bounds the wait until the run is accepted,
  /// `result_timeout` the wait for the result after that, and the time that the
  /// run may take the wait for the rest of a long response.
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
  void RecordResponse(const std::string& host, uint64_t number);
  void RecordFailure(const std::string& host,
                     uint64_t number,
                     const kj::Exception& error);
  /// Counts a run of `link` that awaits its result, and begins to check the
  /// connection if it is the only one.
  void AwaitResult(const std::string& host, const std::shared_ptr<Link>& link);
  static void StopAwaiting(const std::shared_ptr<Link>& link);
  void Watch(const std::string& host, const std::shared_ptr<Link>& link);
  void ScheduleCheck(const std::string& host, const std::weak_ptr<Link>& link);
  /// Closes the connection if it has brought no response at several checks in
  /// a row, and calls the host before that.
  void CheckLink(const std::string& host, const std::shared_ptr<Link>& link);
  void CallForResponse(const std::string& host, Link& link);
  /// Destroys the connection that `host` has.
  void CloseLink(const std::string& host);

  EventLoop& loop;
  Options options;
  std::unique_ptr<State> state;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_PEER_CLIENTS_H_
