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
#include "components/guard/crash_watch.h"
#include "components/guard/guarded_upstream.h"
#include "components/guard/waiters.h"
#include "components/membership/host_record.h"
#include "components/once/key_index.h"
#include "components/once/run_ledger.h"
#include "components/once/run_request.h"
#include "components/rpc/messages.h"

namespace kingcupstair::guard {

/// A run that was accepted and is to be carried out.
struct AcceptedRun {
  once::RunRequest request;
  /// Set when the caller's Idempotency-Key stands for an earlier attempt that
  /// this one must wait for instead of running.
  std::string earlier_attempt;
  /// The slot that was reserved for it.
  admission::TicketId ticket = 0;
};

/// A slot held for a request that is about to be submitted.
struct Reservation {
  admission::TicketId ticket = 0;
  std::string upstream;
  /// Its request can't be sent again, or was already.
  bool careful = false;
  Instant lapses;
};

/// Accepting a run gives the run or, at once, its final result.
using AcceptAnswer = std::variant<AcceptedRun, rpc::RunResult>;

/// The only way to the upstreams of this host. What must be exact about one
/// upstream is decided here, by one process. Safe to use from several threads.
class Guard {
 public:
  struct Options {
    std::string zone;
    /// Upstreams silent for longer are gone.
    Duration announcement_life{std::chrono::seconds(3)};
    /// The life that this host stands for among its peers.
    std::function<uint64_t()> incarnation;
    /// True while this host must take no new work.
    std::function<bool()> isolated;
    std::shared_ptr<const Dialect> dialect = std::make_shared<const Dialect>();
  };

  Guard(Options options,
        const Snapshot<config::Configuration>& configuration,
        CrashWatch& crashes,
        events::Recorder& recorder);

  /// An upstream on this host tells of itself.
  void Announce(const Announcement& announcement);

  /// The upstream says that it has left.
  void Withdraw(const std::string& id);

  /// Holds a slot for a request that is submitted right after; suspends the
  /// calling fiber while it waits for one.
  rpc::SlotAnswer Reserve(const once::SlotRequest& request);

  /// Nobody waits for the request any more: it is not sent to its upstream,
  /// and if it may be repeated and runs already it is given up.
  void Cancel(const std::string& request_id, uint64_t incarnation);

  /// Records the run as accepted, or refuses it. It uses the slot reserved for
  /// its request id.
  AcceptAnswer Accept(const once::RunRequest& request);

  /// Carries out an accepted run; suspends the calling fiber meanwhile.
  rpc::RunResult Run(const AcceptedRun& accepted);

  /// Says what became of a request, and fences it if it has not been sent.
  rpc::ResolveAnswer Resolve(const std::string& request_id,
                             uint64_t incarnation);

  /// Lets time pass: queue timeouts, silent upstreams, withdrawn zones.
  void Tick();

  /// Refuses all new work from now on.
  void BeginDrain();

  /// Runs accepted and not yet ended.
  int InFlight() const { return this->in_flight; }

  /// What this host tells its peers of its upstreams.
  std::vector<membership::UpstreamRecord> Upstreams() const;

 private:
  once::RefusalReason ReasonToRefuse(const std::string& upstream,
                                     uint64_t asked_incarnation) const;
  once::RefusalReason ReasonToRefuseSlot(const once::SlotRequest& request,
                                         Instant now) const;
  int OnceOnlySinceGood(const GuardedUpstream& upstream) const;
  admission::GateDecision WaitForSlot(const once::SlotRequest& request,
                                      admission::TicketId ticket);
  rpc::SlotAnswer SlotAnswerFor(const std::string& upstream,
                                const once::NotRun& refusal,
                                bool granted) const;
  void ReleaseReservation(const std::string& request_id, Wakes& wakes);
  void LapseReservations(Instant now, Wakes& wakes);
  bool IsStale(const Announcement& announcement) const;
  void ForgetPredecessors(const Announcement& announcement, Wakes& wakes);
  bool IsWithdrawn(const GuardedUpstream& upstream) const;
  rpc::RunResult WaitForEarlier(const AcceptedRun& accepted);
  rpc::RunResult EndUnsent(const AcceptedRun& accepted, Wakes& wakes);
  double WeightOf(const std::string& organisation) const;
  rpc::RunResult EndRun(const once::RunRequest& request,
                        admission::TicketId ticket,
                        const once::Outcome& outcome,
                        bool crashed);
  static void LogRun(const once::RunRequest& request,
                     const once::Outcome& outcome,
                     int in_flight);
  void MarkUnreachable(GuardedUpstream& upstream);
  void NoteBreak(GuardedUpstream& upstream, const once::RunRequest& request);
  void BlameBroken(GuardedUpstream& upstream);
  rpc::RunResult ResultFor(const std::string& upstream,
                           const once::Outcome& outcome) const;
  void AddUpstream(const Announcement& announcement);
  void RecordUpstream(const char* kind,
                      const Announcement& announcement,
                      const std::string& detail);

  Options options;
  const Snapshot<config::Configuration>& configuration;
  CrashWatch& crashes;
  events::Recorder& recorder;
  std::atomic<int> in_flight{0};
  std::atomic<bool> draining{false};

  mutable std::mutex mutex;
  std::map<std::string, GuardedUpstream> upstreams;
  once::RunLedger ledger;
  once::KeyIndex keys;
  Waiters waiters;
  std::map<std::string, Reservation> reservations;
  /// Runs that are out at an upstream and may be given up, by request id.
  std::map<std::string, CancellationPtr> cancellable;
  /// Upstreams that have said that they leave; their announcements may still
  /// be on the way.
  std::map<std::string, Instant> withdrawn;
  admission::TicketId last_ticket = 0;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_GUARD_H_
