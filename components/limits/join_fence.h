#ifndef COMPONENTS_LIMITS_JOIN_FENCE_H_
#define COMPONENTS_LIMITS_JOIN_FENCE_H_

#include <cstdint>
#include <optional>

namespace kingcupstair::limits {

/// Decides whether a process that has just started may use its entry in the
/// share table without a write of its own. A former process at the address may
/// have sent a write that has not reached the store yet. Such a write is
/// conditional on a version that was read before this process started, so it
/// fails once the table has a version above that of this process's first read,
/// whichever host wrote it.
///
/// The reads must be current: a read returns at least the latest version that
/// was written before the read began.
class JoinFence {
 public:
  struct TableVersion {
    /// Era of the store. Versions of different eras can't be compared.
    uint64_t era = 0;
    uint64_t version = 0;

    bool operator==(const TableVersion&) const = default;
  };

  /// Records a read of the table. Returns true if no write that was sent before
  /// the first recorded read can take effect any more.
  bool RecordRead(const TableVersion& read) {
    if (!this->first.has_value() || this->first->era != read.era) {
      this->first = read;
    }
    return read.version > this->first->version;
  }

  /// Forgets all reads, so that the next one is the first.
  void Reset() { this->first.reset(); }

 private:
  std::optional<TableVersion> first;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_JOIN_FENCE_H_
