#ifndef COMPONENTS_ONCE_RUN_LEDGER_H_
#define COMPONENTS_ONCE_RUN_LEDGER_H_

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "components/base/time.h"
#include "components/once/outcome.h"

namespace kingcupstair::once {

/// Result of accepting a request id.
enum class AcceptResult {
  kAccepted,   ///< New: the request may be sent to an upstream.
  kFenced,     ///< Fenced before the request arrived, which must not run.
  kDuplicate,  ///< Accepted before: the request must not run again.
};

/// The request is accepted or running and has no outcome yet.
struct StillRunning {
  bool operator==(const StillRunning&) const = default;
};

/// The outcome of a request, or that the request is still running.
using Resolution = std::variant<Outcome, StillRunning>;

/// Record, per process, of the requests that arrived here. Guarantees that each
/// of them runs at most once here, and that a request resolved as "not run" has
/// not run here and never will.
class RunLedger {
 public:
  struct Options {
    /// Time for which an outcome or a fence is kept after it was recorded.
    /// Longer than any copy of a request can be in transit.
    Duration retention{std::chrono::minutes(10)};
    /// Maximum total size of the retained response bodies, in bytes. Beyond it
    /// the oldest responses are dropped before their retention ends, while the
    /// fact that their requests were sent to an upstream is kept.
    size_t max_retained_bytes = 32 * 1024 * 1024;
  };

  explicit RunLedger(Options options);

  /// Records that `id` has arrived.
  AcceptResult Accept(const std::string& id, Instant now);

  /// Marks an accepted `id` as sent to an upstream. Returns false if `id` must
  /// not be sent: it was fenced since, was sent before, or was never accepted.
  bool TryMarkForwarded(const std::string& id);

  /// Records the outcome of an accepted request. A fenced or unknown `id` is
  /// ignored.
  void Finish(const std::string& id, const Outcome& outcome, Instant now);

  /// Returns the outcome of `id`, or that the request is still running. A
  /// request that was never accepted or is not yet sent to an upstream is
  /// fenced: it will not run here from now on.
  Resolution Resolve(const std::string& id, Instant now);

  /// Returns the same as Resolve without fencing `id`, or nullopt if `id` is
  /// not recorded.
  std::optional<Resolution> Peek(const std::string& id) const;

  /// Removes entries whose retention has ended.
  void Expire(Instant now);

  size_t entry_count() const { return this->entries.size(); }

 private:
  struct Accepted {};
  struct Forwarded {};
  struct Finished {
    Outcome outcome;
  };
  /// Ended after the request was sent to an upstream; the outcome is no longer
  /// retained.
  struct ResponseDropped {};
  /// Will not run here, now or later.
  struct Fence {};
  using State =
      std::variant<Accepted, Forwarded, Finished, ResponseDropped, Fence>;

  /// An entry that ended, with the start of its retention.
  struct EndedEntry {
    std::string id;
    Instant at;
  };

  struct RetainedResponse {
    std::string id;
    /// Size of the response body.
    size_t bytes = 0;
  };

  void RecordEnd(const std::string& id, Instant now);
  void DropOldestResponses();

  Options options;
  std::unordered_map<std::string, State> entries;
  /// In the order of their end.
  std::deque<EndedEntry> ended;
  /// Oldest first.
  std::deque<RetainedResponse> retained;
  size_t retained_bytes = 0;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_RUN_LEDGER_H_
