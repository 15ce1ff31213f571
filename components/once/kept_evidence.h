#ifndef COMPONENTS_ONCE_KEPT_EVIDENCE_H_
#define COMPONENTS_ONCE_KEPT_EVIDENCE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "components/base/time.h"
#include "components/once/crash_ledger.h"

namespace kingcupstair::once {

/// Crash evidence of the fleet as kept in the store.
struct EvidenceContent {
  std::vector<AgedEvidence> crashes;
  /// Evidence that was cleared, with the age of the clearance.
  std::vector<AgedEvidence> clearances;
};

/// Returns the evidence of `ledger` that is to be in the store: at most
/// `max_pieces` crashes and as many clearances. If there is more, the crashes
/// of requests that are refused come first, then the newest.
EvidenceContent SelectEvidence(const CrashLedger& ledger,
                               Instant now,
                               size_t max_pieces);

/// Returns true if `content` has all evidence that is in `wanted`, whatever the
/// ages.
bool HasAllOf(const EvidenceContent& content, const EvidenceContent& wanted);

/// Tracks which of the news that this host has made, evidence and clearances,
/// is in the store. News from peers is written by the host that made it.
class KeptEvidence {
 public:
  explicit KeptEvidence(Duration lifetime) : lifetime(lifetime) {}

  /// Records that this host made evidence about a request, or cleared some.
  void OnNews(Fingerprint fingerprint, Instant now);

  /// Returns false if news about the request is not in the store.
  bool IsKept(Fingerprint fingerprint) const;

  /// Returns true if some news is not in the store.
  bool IsWriteDue() const;

  /// Returns the number of the latest news, counted from 1.
  uint64_t LatestNews() const { return this->latest; }

  /// Records that the store has all news up to this number.
  void OnKept(uint64_t news);

  /// Records that the store may have lost what was written to it.
  void OnStoreRestored() { this->kept = 0; }

  /// Forgets news that has expired.
  void Expire(Instant now);

 private:
  struct News {
    uint64_t number = 0;
    Instant at;
  };

  Duration lifetime;
  std::map<Fingerprint, News> news;
  uint64_t latest = 0;
  uint64_t kept = 0;
};

/// Decides when a host that has started may use its upstreams: once it has the
/// evidence of earlier crashes, or has waited for it for the longest time.
class EvidenceWait {
 public:
  explicit EvidenceWait(Duration max_wait) : max_wait(max_wait) {}

  /// Records that the evidence was read from the store, or that a peer with a
  /// memory of earlier crashes has told of it.
  void OnLearned() { this->learned = true; }

  /// Returns true if upstreams may be used as far as the evidence is concerned.
  /// The wait begins with the first call, when nothing else prevents it.
  bool IsOver(Instant now);

  /// Returns true once the wait has begun.
  bool HasBegun() const { return this->begun.has_value(); }

 private:
  Duration max_wait;
  bool learned = false;
  std::optional<Instant> begun;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_KEPT_EVIDENCE_H_
