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
#include "components/base/snapshot.h"
#include "components/config/configuration.h"
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
  };

  Guard(Options options,
        const Snapshot<config::Configuration>& configuration,
        CrashWatch& crashes,
        events::Recorder& recorder);

  /// An upstream on this host tells of itself.
  void Announce(const Announcement& announcement);

  /// Records the run as accepted, or refuses it.
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
  once::RefusalReason ReasonToRefuse(const once::RunRequest& request) const;
  bool IsWithdrawn(const GuardedUpstream& upstream) const;
  rpc::RunResult WaitForEarlier(const AcceptedRun& accepted);
  rpc::RunResult Refused(const once::RunRequest& request,
                         const once::NotRun& refusal);
  admission::GateDecision WaitForSlot(const once::RunRequest& request,
                                      admission::TicketId ticket,
                                      Instant deadline);
  double WeightOf(const std::string& organisation) const;
  rpc::RunResult EndRun(const once::RunRequest& request,
                        admission::TicketId ticket,
                        const once::Outcome& outcome,
                        bool crashed);
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
  admission::TicketId last_ticket = 0;
};

}  // namespace kingcupstair::guard

#endif  // COMPONENTS_GUARD_GUARD_H_
