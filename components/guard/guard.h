#ifndef COMPONENTS_GUARD_GUARD_H_
#define COMPONENTS_GUARD_GUARD_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "components/admission/upstream_gate.h"
#include "components/base/cancellation.h"
#include "components/base/snapshot.h"
#include "components/config/configuration.h"
#include "components/dialect/dialect.h"
#include "components/events/recorder.h"
#include "components/guard/announcement.h"
#include "components/guard/departures.h"
#include "components/guard/guarded_upstream.h"
#include "components/guard/peer_bodies.h"
#include "components/guard/shared_crash_ledger.h"
#include "components/guard/upstream_call.h"
#include "components/guard/waiters.h"
#include "components/membership/host_record.h"
#include "components/once/key_index.h"
#include "components/once/run_ledger.h"
#include "components/once/run_request.h"
#include "components/retry/call_attribution.h"
#include "components/rpc/messages.h"

namespace kingcupstair::guard {

/// An attempt that the guard has accepted and not yet run.
struct AcceptedRun {
  once::RunRequest request;
  /// Request id of the earlier attempt with the same Idempotency-Key of the
  /// caller. If not empty, this attempt waits for the outcome of the earlier
  /// one instead of running.
  std::string earlier_attempt;
  /// Ticket of the slot that was reserved for the attempt.
  admission::TicketId ticket = 0;
  /// Memory of the body, if another host has sent a long one.
  BodyLease body_lease;
};

/// A slot reserved for a request that is about to be submitted.
struct SlotReservation {
  admission::TicketId ticket = 0;
  std::string upstream;
  /// Set if the request can't be sent again, or was sent again already.
  bool non_retryable = false;
  Instant expires_at;
};

/// Result of accepting an attempt: the accepted run, or the final result if the
/// attempt is refused.
using AcceptAnswer = std::variant<AcceptedRun, rpc::RunResult>;

/// Runs all requests to the upstreams of this host. Decisions that have to be
/// exact for one upstream are made here, since all requests to the upstream
/// pass through this one process. Safe to use from several threads.
class Guard {
 public:
  struct Options {
    /// Availability zone of this host.
    std::string zone;
    /// An upstream that sends no announcement for longer is removed once no
    /// slot of the upstream is in use.
    Duration announcement_lifetime{std::chrono::seconds(3)};
    /// How upstreams that announce when they are cold warm up. The rate is that
    /// of their service.
    admission::RateLimitedWarmUp warm_up;
    /// Admits requests by their expected work instead of the average latency of
    /// the upstream.
    bool admission_by_work = false;
    /// Returns the incarnation of this host in the fleet.
    std::function<uint64_t()> incarnation;
    /// Returns true while this host must not take new requests.
    std::function<bool()> isolated;
    /// Returns true once this host knows the departures that its earlier
    /// incarnations acknowledged, and has learned of earlier crashes or waited
    /// for long enough. Its upstreams are not used before.
    std::function<bool()> departures_known = [] { return true; };
    /// Called with the name of a departure of which a response has told, if it
    /// was not known. Must not block.
    std::function<void(const std::string& departure)> on_departure =
        [](const std::string&) {};
    /// Waits until evidence about a request is in the store, for a bounded
    /// time. Called before the result of a run without a response is returned.
    std::function<void(once::Fingerprint fingerprint)> keep_evidence =
        [](once::Fingerprint) {};
    /// Names of the header fields exchanged with upstreams.
    std::shared_ptr<const HeaderNames> header_names =
        std::make_shared<const HeaderNames>();
    /// See once::RunLedger.
    size_t max_retained_response_bytes =
        once::RunLedger::Options{}.max_retained_bytes;
    /// Memory for long bodies of requests that other hosts send.
    PeerBodies::Options peer_bodies = {};
  };

  Guard(Options options,
        const Snapshot<config::Configuration>& configuration,
        SharedCrashLedger& crashes,
        events::Recorder& recorder);

  /// Adds or updates an upstream of this host. Ignores announcements that are
  /// out of date. Returns the name of the departure if the announcement says
  /// that the upstream leaves.
  std::optional<std::string> Announce(const Announcement& announcement);

  /// Records that an upstream has left, also if it is not known, and refuses
  /// its waiting requests. Returns the name of the departure.
  std::string Withdraw(const std::string& id);

  /// Adds departures that an earlier incarnation of this host was told of.
  void LearnDepartures(const std::vector<std::string>& names);

  /// Returns the names of the known departures, in order.
  std::vector<std::string> KnownDepartures() const;

  /// Reserves a slot for a request that is submitted right after, or refuses
  /// the request. Suspends the calling fiber while it waits for a slot.
  rpc::SlotAnswer Reserve(const once::SlotRequest& request);

  /// Reserves a slot for a request that another host is about to send, and
  /// memory for its body, or refuses the request. Suspends the calling fiber
  /// while it waits for either. Both are given back when `abandoned` is
  /// cancelled.
  rpc::SlotAnswer ReserveForPeer(const once::SlotRequest& request,
                                 const CancellationPtr& abandoned);

  /// Cancels a request whose response is no longer waited for, and releases a
  /// slot reserved for the request. Fences the request if it has not been sent
  /// to its upstream, also while the connection to the upstream is opened, and
  /// aborts it if it is idempotent and already running.
  /// Does nothing if `incarnation` is not that of this host.
  void Cancel(const std::string& request_id, uint64_t incarnation);

  /// Records the attempt as accepted, with the slot that was reserved for its
  /// request id, or refuses it.
  AcceptAnswer Accept(const once::RunRequest& request);

  /// Runs an accepted attempt and returns its result. Suspends the calling
  /// fiber meanwhile.
  rpc::RunResult Run(const AcceptedRun& accepted);

  /// Returns the outcome of a request if it is known. Fences the request if it
  /// has not been sent to its upstream. Returns OtherIncarnation if
  /// `incarnation` is not that of this host.
  rpc::ResolveAnswer Resolve(const std::string& request_id,
                             uint64_t incarnation);

  /// Applies all timeouts: of waiting requests, reservations, ledger entries
  /// and upstreams without announcements. Refuses the waiting requests of
  /// withdrawn availability zones and upstreams. To be called regularly.
  void Tick();

  /// Refuses all new requests from now on.
  void BeginDrain();

  /// Ends all runs in progress with an unknown outcome. To be called shortly
  /// before the process ends.
  void EndRuns();

  /// Records a call that an upstream of `service` on this host makes, and
  /// returns the probability that a retry makes it.
  double AttributeCall(const std::string& service);

  /// Returns the number of attempts accepted and not yet ended.
  int InFlight() const { return this->in_flight; }

  /// Returns the load reports, for peers, of the upstreams of this host that
  /// are reachable and not draining.
  std::vector<membership::UpstreamRecord> Upstreams() const;

 private:
  once::RefusalReason ReasonToRefuse(const std::string& upstream,
                                     uint64_t expected_incarnation) const;
  once::RefusalReason ReasonToRefuseSlot(const once::SlotRequest& request,
                                         Instant now) const;
  /// Returns how many requests would be lost if the upstream had begun to
  /// hang: non-idempotent requests without a response that were sent since the
  /// last successful response, and non-retryable requests with a reservation.
  int CountRequestsAtRisk(const GuardedUpstream& upstream) const;
  admission::GateDecision WaitForSlot(const once::SlotRequest& request,
                                      admission::TicketId ticket);
  /// Returns false if no memory became free in the time that the request may
  /// wait.
  bool WaitForBodyMemory(const once::SlotRequest& request,
                         const Cancellation& abandoned);
  void AbandonReservation(const std::string& request_id);
  /// Takes over the limit that the upstream has named to other hosts, if this
  /// host has had no response from it.
  void LearnNamedRate(const once::SlotRequest& request);
  rpc::SlotAnswer SlotAnswerFor(const std::string& upstream,
                                const once::NotRun& refusal,
                                bool granted) const;
  void ReleaseReservation(const std::string& request_id,
                          DeferredWakeups& wakeups);
  void ExpireReservations(Instant now, DeferredWakeups& wakeups);
  bool IsStale(const Announcement& announcement) const;
  void RemovePredecessors(const Announcement& announcement,
                          DeferredWakeups& wakeups);
  bool IsWithdrawn(const GuardedUpstream& upstream) const;
  rpc::RunResult WaitForEarlierAttempt(const AcceptedRun& accepted);
  rpc::RunResult FinishUnsent(const AcceptedRun& accepted,
                              DeferredWakeups& wakeups);
  double OrganisationWeight(const std::string& organisation) const;
  rpc::RunResult FinishRun(const once::RunRequest& request,
                           admission::TicketId ticket,
                           const once::Outcome& outcome,
                           bool crashed);
  static void LogRun(const once::RunRequest& request,
                     const once::Outcome& outcome,
                     int in_flight);
  void MarkUnreachable(GuardedUpstream& upstream);
  /// Applies what a start of the upstream says about itself in a response.
  void ApplyNotice(const std::string& upstream,
                   const std::string& start,
                   const UpstreamNotice& notice);
  /// Adds the suspects of a crash of the announced upstream to the evidence.
  void AddCrashEvidence(const Announcement& announcement,
                        const std::vector<CrashSuspect>& suspects);
  rpc::RunResult ResultFor(const std::string& upstream,
                           const once::Outcome& outcome) const;
  void AddUpstream(const Announcement& announcement);
  /// Refuses new requests of an upstream from now on.
  void Drain(GuardedUpstream& upstream,
             const char* event,
             DeferredWakeups& wakeups);
  /// Drains the upstreams in use whose departure is known.
  void DrainDeparted(DeferredWakeups& wakeups);
  /// Returns the warm-up rate of a service according to its rules.
  double WarmUpRate(const std::string& service) const;
  void RecordUpstreamEvent(const char* kind,
                           const Announcement& announcement,
                           const std::string& detail);

  Options options;
  const Snapshot<config::Configuration>& configuration;
  SharedCrashLedger& crashes;
  events::Recorder& recorder;
  std::atomic<int> in_flight{0};
  std::atomic<bool> draining{false};
  std::atomic<bool> runs_ended{false};

  mutable std::mutex mutex;
  /// Learns the work of the requests to all upstreams of this host, with
  /// admission by work.
  const std::shared_ptr<admission::WorkEstimator> work_estimator =
      std::make_shared<admission::WorkEstimator>(
          admission::WorkEstimator::Options{});
  std::map<std::string, GuardedUpstream> upstreams;
  once::RunLedger ledger;
  once::KeyIndex keys;
  Waiters waiters;
  std::map<std::string, SlotReservation> reservations;
  PeerBodies peer_bodies;
  /// Requests that are running at an upstream, by request id.
  std::map<std::string, RunningCall> running_calls;
  Departures departures;
  admission::TicketId last_ticket = 0;
  /// By service.
  std::map<std::string, retry::CallAttribution> call_attributions;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_GUARD_H_
