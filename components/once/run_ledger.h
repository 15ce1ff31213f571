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

/// What accepting a request id led to.
enum class AcceptResult {
  kAccepted,   ///< New: it may go on to an upstream.
  kFenced,     ///< Fenced before it arrived; it must not run.
  kDuplicate,  ///< Accepted before; it must not run again.
};

/// The request is accepted or running; no outcome yet.
struct StillRunning {
  bool operator==(const StillRunning&) const = default;
};

/// The answer to "what became of this request?".
using Resolution = std::variant<Outcome, StillRunning>;

/// The record one process keeps of the requests that came to it, which makes
/// "ran at most once" and "not run" exact for them.
class RunLedger {
 public:
  struct Options {
    /// How long an outcome or a fence is kept after it was recorded. Longer
    /// than any copy of a request can be under way.
    Duration retention{std::chrono::minutes(10)};
    /// Bytes of answers kept, at most. What an answer was is forgotten early
    /// rather than that its request ran.
    size_t max_kept_bytes = 32 * 1024 * 1024;
  };

  explicit RunLedger(Options options);

  /// Records that `id` has arrived.
  AcceptResult Accept(const std::string& id, Instant now);

  /// Asks leave to send `id` to an upstream; false when it was fenced since.
  bool BeginForward(const std::string& id);

  /// Records the outcome of an accepted request.
  void Finish(const std::string& id, const Outcome& outcome, Instant now);

  /// Says what became of `id`. One that was never accepted, or not yet
  /// forwarded, is fenced: it will not run here from now on.
  Resolution Resolve(const std::string& id, Instant now);

  /// What became of `id`, without fencing it; nothing when it is not known.
  std::optional<Resolution> Peek(const std::string& id) const;

  /// Forgets entries past their retention.
  void Expire(Instant now);

  size_t entry_count() const { return this->entries.size(); }

 private:
  struct Accepted {};
  struct Forwarded {};
  struct Finished {
    Outcome outcome;
  };
  /// Ran, and its answer is no longer kept.
  struct AnswerDropped {};
  struct Fence {};
  using State =
      std::variant<Accepted, Forwarded, Finished, AnswerDropped, Fence>;

  struct Ended {
    std::string id;
    Instant at;
  };

  struct Kept {
    std::string id;
    size_t bytes = 0;
  };

  void NoteEnded(const std::string& id, Instant now);
  void DropAnswers();

  Options options;
  std::unordered_map<std::string, State> entries;
  /// In the order in which they ended.
  std::deque<Ended> ended;
  /// Answers kept, the oldest first.
  std::deque<Kept> kept;
  size_t kept_bytes = 0;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_RUN_LEDGER_H_
