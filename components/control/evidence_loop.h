#ifndef COMPONENTS_CONTROL_EVIDENCE_LOOP_H_
#define COMPONENTS_CONTROL_EVIDENCE_LOOP_H_

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "components/base/backoff.h"
#include "components/control/fleet.h"
#include "components/control/gossip_loop.h"
#include "components/once/kept_evidence.h"
#include "components/store/crash_evidence.h"

namespace kingcupstair::control {

/// Keeps crash evidence and clearances in the store, under one key for the
/// fleet, so that they survive a restart of all hosts. Reads them once at the
/// start; while the store does not respond, peers that kept running tell them.
class EvidenceLoop {
 public:
  EvidenceLoop(Fleet& fleet, GossipLoop& gossip);

  /// Reads the evidence at the start, and later writes news of this host that
  /// is not kept yet, each if due, then sleeps.
  void FollowStoreStep();

  /// Asks peers for evidence while the store has not been read, then sleeps.
  void AskPeersStep();

  /// Returns true if this host may use its upstreams as far as the evidence is
  /// concerned. The first call begins the wait for it.
  bool IsWaitOver();

  /// Waits until evidence about the request is in the store, for a bounded
  /// time. Returns at once if there is no new evidence of this host about it.
  /// Suspends the calling fiber.
  void Keep(once::Fingerprint fingerprint);

 private:
  bool IsReadDue(Instant now);
  absl::Status Read();
  void LearnFromStore(const store::StoredEvidence& stored);
  /// Starts a write unless one is in progress.
  void BeginWrite();
  absl::Status Write();
  absl::Status WriteOnce(bool& conflict);
  /// Sets when the store is called again after a call of FollowStoreStep().
  void OnCall(const absl::Status& status);
  /// What was written to the store may be gone after a restore.
  uint64_t NoticeEra();
  /// Peers that started so long before this host that they may have evidence
  /// of the time before.
  std::vector<std::string> PeersWithMemory() const;

  Fleet& fleet;
  GossipLoop& gossip;
  std::atomic<bool> was_read{false};
  std::atomic<bool> is_writing{false};
  /// Set while calls to the store fail, so that no request waits for one.
  std::atomic<bool> is_store_failing{false};
  std::mutex mutex;
  once::EvidenceWait wait;
  /// The era of the store in which news was written.
  uint64_t era = 0;
  /// Of the fiber that runs FollowStoreStep().
  bool has_read_since_wait_began = false;
  Instant retry_at;
  Backoff backoff;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_EVIDENCE_LOOP_H_
