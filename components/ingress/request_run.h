#ifndef COMPONENTS_INGRESS_REQUEST_RUN_H_
#define COMPONENTS_INGRESS_REQUEST_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "components/ingress/admitted_request.h"
#include "components/ingress/attempt_runner.h"
#include "components/ingress/fleet_board.h"
#include "components/ingress/slot_search.h"
#include "components/retry/held_retry_token.h"
#include "components/retry/retry_policy.h"

namespace kingcupstair::ingress {

/// Returns how long a request by `route` may wait in the queue of an upstream.
Duration MaxQueueWaitOf(const config::RouteRule& route);

/// Runs one request with all its attempts: finds slots, starts attempts,
/// retries and hedges where that is allowed, and returns the final outcome.
/// Runs on one fiber; each attempt runs on a fiber of its own on the same
/// thread.
class RequestRun {
 public:
  /// Dependencies of a run.
  struct Context {
    UpstreamRegistry& registry;
    AttemptRunner& runner;
    /// Takes a retry token. Returns false if the retry budget is used up.
    std::function<bool()> try_retry;
    /// Returns how long the request is refused because it crashes upstreams.
    std::function<Duration()> refused_for;
    /// Logs the start of an attempt at `choice`, with the load reported there.
    std::function<void(const std::string& attempt,
                       const ChosenUpstream& choice,
                       const rpc::SlotAnswer& slot)>
        log_attempt_start;
    /// Logs the outcome of an attempt at `choice`, and the step at which it
    /// ended.
    std::function<void(const char* step,
                       const ChosenUpstream& choice,
                       const once::Outcome& outcome)>
        log_attempt_end;
    /// Logs that reports show that no upstream has a slot in time.
    std::function<void(const balancing::NoRoom& no_room)> log_no_room;
    std::string caller_service;
    /// Returns the time by which this host responds to all its requests.
    std::function<Instant()> respond_by;
  };

  RequestRun(Context context, const AdmittedRequest& admitted);

  /// Runs the request and returns its final outcome, or nothing if the caller
  /// has disconnected.
  std::optional<once::Outcome> Execute();

 private:
  struct Attempt {
    ChosenUpstream choice;
    Instant started;
    /// The upstream has the version that is rolled out.
    bool new_version = false;
  };
  struct Results;
  struct QueueWait;

  std::optional<once::Outcome> RunAttempts();
  std::optional<ChosenUpstream> FindSlot(bool may_wait);
  /// Requests a slot of the version that is rolled out, if the request goes
  /// there as a trial. Only its first attempt does.
  std::optional<ChosenUpstream> FindNewVersionSlot();
  /// Reports the end of an attempt as evidence of a roll-out.
  void ReportEnd(const Attempt& attempt, health::VersionEvidence evidence);
  /// Reports the running attempts, of which the results are not awaited.
  void ReportAbandoned();
  std::optional<ChosenUpstream> RequestSlot(const SlotStep& step,
                                            SlotSearch& search,
                                            bool may_wait);
  std::optional<PlacedUpstream> ChooseUpstream(const SlotStep& step,
                                               const SlotSearch& search);
  /// Returns how to search for a slot.
  SlotSearch::Options SearchOptions(bool may_wait) const;
  /// Returns the refusal if reports show that no upstream has a slot in time.
  std::optional<once::NotRun> RefuseWithoutRoom() const;
  /// Requests a slot and waits for the answer, at most until the deadline and
  /// while the caller is there.
  rpc::SlotAnswer WaitInQueue(const ChosenUpstream& choice,
                              const once::SlotRequest& request);
  /// Returns true if the next attempt can't be repeated, or is a repeat itself.
  bool IsNonRetryable() const;
  /// Returns how long the request may wait in the queue of an upstream.
  Duration MaxQueueWait() const;
  /// Finds a slot and starts an attempt. Returns false if there is no slot.
  bool StartAttempt(bool may_wait);
  /// Waits for the end of an attempt, at most until `until`. Returns true if
  /// there is a result.
  bool WaitForResult(Instant until);
  /// Waits until `timer` is cancelled, at most until `until`.
  static void WaitOnTimer(boost::asio::steady_timer& timer, Instant until);
  /// Handles the result of one attempt. Returns true if its outcome is final.
  bool HandleResult();
  /// Returns true if the retry policy allows another attempt after `outcome`.
  bool IsRetryAllowed(const once::Outcome& outcome) const;
  /// Starts another attempt if the retry policy allows it after `outcome`.
  /// Returns false if no attempt was started.
  bool RetryIfAllowed(const once::Outcome& outcome);
  /// Starts an attempt that needs a retry token. Returns false if there is no
  /// token or no slot.
  bool StartRetry(bool may_wait);
  void Hedge();
  bool IsHedgeDue(Instant now) const;
  Instant NextWakeTime(Instant now) const;
  void CancelAttempts();
  /// Returns the time by which the request has its response.
  Instant Deadline() const;
  /// Ends the request at its deadline.
  void EndAtDeadline();
  /// Sets the outcome to unknown, with `reason`, if attempts still run.
  void MarkAttemptsUnknown(const char* reason);
  once::RunRequest MakeRunRequest(const ChosenUpstream& choice) const;
  Duration RemainingTime() const;

  Context context;
  const AdmittedRequest& admitted;
  uint64_t work_class;
  std::shared_ptr<Results> results;
  std::string next_attempt_id;
  std::map<std::string, Attempt> running;
  std::set<std::string> attempted_upstreams;
  int attempts = 0;
  int upstreams_broken = 0;
  /// The slot for the next attempt is searched by the work at the upstreams.
  bool places_by_work = false;
  /// The body was sent to another availability zone.
  bool body_crossed_zones = false;
  bool is_counted_for_rollout = false;
  /// An ended attempt has reached an upstream, so a further one is a retry.
  bool has_reached_upstream = false;
  /// A hedge has started, and no attempt has ended since after which another
  /// is allowed.
  bool hedged = false;
  retry::HeldRetryToken retry_token;
  /// Earliest time for the next try to hedge, after one without a retry token
  /// or a slot.
  Instant next_hedge_at;
  bool has_final_outcome = false;
  once::Outcome last_outcome{
      once::NotRun{.reason = once::RefusalReason::kUpstreamGone}};
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_REQUEST_RUN_H_
