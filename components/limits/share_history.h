#ifndef COMPONENTS_LIMITS_SHARE_HISTORY_H_
#define COMPONENTS_LIMITS_SHARE_HISTORY_H_

#include <deque>

#include "components/base/time.h"

namespace kingcupstair::limits {

/// The shares that one host held recently. After the store was restored from an
/// older copy, the host falls back to the least of them: it never held more
/// than its entry in the share table, so the least is within its entry in every
/// copy that is no older than the history.
class ShareHistory {
 public:
  struct Options {
    /// Greatest age of a copy from which the store is restored.
    Duration span{std::chrono::seconds(60)};
  };

  explicit ShareHistory(Options options);

  /// Records the share that the host holds from `now` on. The time before the
  /// first record doesn't count.
  void Record(double share, Instant now);

  /// Returns the least share held within the span before `now`, or 0 if there
  /// is no record.
  double Least(Instant now);

 private:
  struct Held {
    double share = 0;
    Instant since;
  };

  Options options;
  /// In the order of time; the last one is still held.
  std::deque<Held> shares;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARE_HISTORY_H_
