#ifndef COMPONENTS_STORE_CRASH_EVIDENCE_H_
#define COMPONENTS_STORE_CRASH_EVIDENCE_H_

#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "components/once/kept_evidence.h"
#include "components/store/client.h"

namespace kingcupstair::store {

/// The crash evidence of the fleet as read from the store.
struct StoredEvidence {
  /// The ages are as of the read.
  once::EvidenceContent content;
  /// Version of the key; 0 if the fleet has never kept any.
  uint64_t version = 0;
  /// False if the value can't be read. The content is then empty.
  bool is_readable = true;
};

/// Returns the value of the key for `content`. The store has the wall-clock
/// times of crashes and clearances, since ages would need the time of the
/// write.
std::string EncodeEvidence(const once::EvidenceContent& content,
                           int64_t wall_clock_ms);

/// Reads a value back. A time in the future, by a clock that was ahead, becomes
/// the age zero. One that is too far in the future to tell is left out.
StoredEvidence DecodeEvidence(const Entry& entry, int64_t wall_clock_ms);

/// Reads the crash evidence of the fleet.
absl::StatusOr<StoredEvidence> ReadCrashEvidence(const Client& client);

/// Replaces `base`, as read before, by `content`. Returns kConflict if the key
/// was written since.
absl::StatusOr<PutResult> WriteCrashEvidence(
    const Client& client,
    const once::EvidenceContent& content,
    const StoredEvidence& base);

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_CRASH_EVIDENCE_H_
