#include "components/control/evidence_loop.h"

#include "absl/strings/str_cat.h"
#include "components/base/error.h"
#include "components/fibers/boundary.h"
#include "components/fibers/call_each.h"
#include "components/fibers/worker_pool.h"
#include "components/logging/log.h"
#include "components/membership/incarnation.h"

namespace kingcupstair::control {
namespace {

/// About 25 KB in the store. A crash makes suspects of at most some dozens of
/// requests.
constexpr size_t kMaxPieces = 256;
/// Longest time for which a host that has started and could use its upstreams
/// waits for evidence: twice the response time of a store that is 60 times
/// slower than its usual 4 ms.
constexpr Duration kMaxWaitAtStart{std::chrono::milliseconds(500)};
/// Longest time for which the result of a run is held back until the evidence
/// that came of it is in the store: a read and a write of some ms each, with
/// room for some conflicts.
constexpr Duration kMaxHold{std::chrono::milliseconds(100)};
constexpr Duration kHoldPollInterval{std::chrono::milliseconds(2)};
/// Hosts that crash-report at the same time write the same key.
constexpr int kMaxWriteTries = 6;
constexpr Duration kFirstConflictDelay{std::chrono::milliseconds(10)};
constexpr Duration kMaxConflictDelay{std::chrono::milliseconds(200)};
constexpr Duration kFirstStoreRetry{std::chrono::milliseconds(100)};
constexpr Duration kMaxStoreRetry{std::chrono::seconds(2)};
constexpr Duration kIntervalBeforeRead{std::chrono::milliseconds(20)};
constexpr Duration kInterval{std::chrono::milliseconds(100)};
constexpr Duration kAskInterval{std::chrono::milliseconds(100)};
/// Processes that end together start again within this time of each other, by
/// clocks that differ.
constexpr Duration kMinAgeOfMemory{std::chrono::seconds(10)};
/// A message has only a part of the evidence if there is much.
constexpr size_t kMaxPeersToAsk = 3;

}  // namespace

EvidenceLoop::EvidenceLoop(Fleet& fleet, GossipLoop& gossip)
    : fleet(fleet),
      gossip(gossip),
      wait(kMaxWaitAtStart),
      backoff({.first = kFirstStoreRetry, .longest = kMaxStoreRetry}) {}

void EvidenceLoop::FollowStoreStep() {
  this->NoticeEra();
  const Instant now = MonotonicNow();
  if (!this->was_read) {
    if (this->IsReadDue(now)) {
      this->OnCall(this->Read());
    }
  } else if (now >= this->retry_at && this->fleet.crashes.IsWriteDue() &&
             !this->is_writing.exchange(true)) {
    this->OnCall(this->Write());
    this->is_writing = false;
  }
  fibers::SleepFor(this->was_read ? kInterval : kIntervalBeforeRead);
}

// After an outage of the store, the read must not come later than that which
// lets the host use its upstreams.
bool EvidenceLoop::IsReadDue(Instant now) {
  const std::lock_guard lock(this->mutex);
  const bool wait_began =
      this->wait.HasBegun() && !this->has_read_since_wait_began;
  this->has_read_since_wait_began |= wait_began;
  return wait_began || now >= this->retry_at;
}

void EvidenceLoop::OnCall(const absl::Status& status) {
  if (status.ok()) {
    this->is_store_failing = false;
    this->backoff.Reset();
    return;
  }
  this->is_store_failing = true;
  this->retry_at = MonotonicNow() + this->backoff.NextDelay();
}

bool EvidenceLoop::IsWaitOver() {
  const std::lock_guard lock(this->mutex);
  return this->wait.IsOver(MonotonicNow());
}

void EvidenceLoop::AskPeersStep() {
  if (!this->was_read && this->is_store_failing &&
      fibers::CallEach(this->PeersWithMemory(), [this](const auto& host) {
        return this->gossip.ExchangeNow(host);
      }) > 0) {
    const std::lock_guard lock(this->mutex);
    this->wait.OnLearned();
  }
  fibers::SleepFor(kAskInterval);
}

std::vector<std::string> EvidenceLoop::PeersWithMemory() const {
  const uint64_t own = this->fleet.directory.OwnIncarnation();
  std::vector<std::string> peers;
  for (const auto& record : this->fleet.directory.HostsNotDead()) {
    if (record.host != this->fleet.settings.host &&
        peers.size() < kMaxPeersToAsk &&
        membership::StartedBefore(record.incarnation, own) > kMinAgeOfMemory) {
      peers.push_back(record.host);
    }
  }
  return peers;
}

// A run that crashed its upstream ends for its caller when the evidence is
// kept, so that neither a retry nor the caller's next request can run without
// it. Without the store the caller gets the result at once.
void EvidenceLoop::Keep(once::Fingerprint fingerprint) {
  const Instant until = MonotonicNow() + kMaxHold;
  while (!this->fleet.crashes.IsKept(fingerprint) && !this->is_store_failing &&
         MonotonicNow() < until) {
    this->BeginWrite();
    fibers::SleepFor(kHoldPollInterval);
  }
}

void EvidenceLoop::BeginWrite() {
  if (this->is_writing.exchange(true)) {
    return;
  }
  fibers::Launch("keep crash evidence", [this] {
    const bool written = fibers::RunOr(
        "write crash evidence", [this] { return this->Write().ok(); },
        [] { return false; });
    if (!written) {
      this->is_store_failing = true;
    }
    this->is_writing = false;
  });
}

absl::Status EvidenceLoop::Read() {
  const auto stored = store::ReadCrashEvidence(this->fleet.store);
  if (stored.ok()) {
    this->LearnFromStore(*stored);
  } else {
    logging::Write(logging::Level::kWarning,
                   "crash evidence could not be read from the store",
                   {{.name = "error", .value = MessageOf(stored.status())}});
  }
  return stored.status();
}

void EvidenceLoop::LearnFromStore(const store::StoredEvidence& stored) {
  const Instant now = MonotonicNow();
  const auto& content = stored.content;
  for (const once::AgedEvidence& cleared : content.clearances) {
    this->fleet.crashes.AddClearance(cleared.evidence, cleared.age, now);
  }
  size_t added = 0;
  for (const once::AgedEvidence& crash : content.crashes) {
    added += this->fleet.crashes.Add(crash.evidence, crash.age, now) ? 1U : 0U;
  }
  if (!stored.is_readable) {
    logging::Write(logging::Level::kWarning,
                   "the crash evidence in the store can't be read", {});
  }
  if (this->was_read.exchange(true)) {
    return;
  }
  this->fleet.recorder.Record(
      {.kind = "crash_evidence_learned",
       .detail = absl::StrCat("from the store: ", added)});
  const std::lock_guard lock(this->mutex);
  this->wait.OnLearned();
}

absl::Status EvidenceLoop::Write() {
  Backoff delays({.first = kFirstConflictDelay, .longest = kMaxConflictDelay});
  absl::Status status;
  bool conflict = true;
  for (int i = 0; i < kMaxWriteTries && conflict; ++i) {
    if (i > 0) {
      fibers::SleepFor(delays.NextDelay());
    }
    status = this->WriteOnce(conflict);
  }
  if (!status.ok() && !this->is_store_failing) {
    this->fleet.recorder.Record(
        {.kind = "crash_evidence_not_kept", .detail = MessageOf(status)});
  }
  return status;
}

// The write takes effect only if nothing was written since the read, so that
// neither evidence of another host is lost nor a delayed write takes back what
// was written after it.
absl::Status EvidenceLoop::WriteOnce(bool& conflict) {
  conflict = false;
  const uint64_t news = this->fleet.crashes.LatestNews();
  const auto stored = store::ReadCrashEvidence(this->fleet.store);
  if (!stored.ok()) {
    return stored.status();
  }
  const uint64_t written_in = this->NoticeEra();
  this->LearnFromStore(*stored);
  const auto content =
      this->fleet.crashes.SelectForStore(MonotonicNow(), kMaxPieces);
  // Another host may have written the evidence, which spreads by gossip, or an
  // earlier write may have taken effect without a response.
  if (!once::HasAllOf(stored->content, content)) {
    const auto put =
        store::WriteCrashEvidence(this->fleet.store, content, *stored);
    if (!put.ok()) {
      return put.status();
    }
    if (*put != store::PutResult::kWritten) {
      conflict = true;
      return absl::AbortedError(
          "the crash evidence in the store was written by another call");
    }
  }
  if (this->NoticeEra() == written_in) {
    this->fleet.crashes.OnKept(news);
    this->fleet.recorder.Record(
        {.kind = "crash_evidence_kept",
         .detail = absl::StrCat("crashes: ", content.crashes.size(),
                                ", cleared: ", content.clearances.size())});
  }
  return absl::OkStatus();
}

uint64_t EvidenceLoop::NoticeEra() {
  const std::lock_guard lock(this->mutex);
  const uint64_t current = this->fleet.store.era();
  if (current != this->era) {
    this->era = current;
    this->fleet.crashes.OnStoreRestored();
  }
  return current;
}

}  // namespace kingcupstair::control
