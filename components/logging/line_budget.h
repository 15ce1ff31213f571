#ifndef COMPONENTS_LOGGING_LINE_BUDGET_H_
#define COMPONENTS_LOGGING_LINE_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::logging {

/// Limits the log lines of each kind per second, so that a burst of one kind
/// neither displaces the lines of other kinds nor overloads the process.
class LineBudget {
 public:
  struct Options {
    /// Limit for each kind of line.
    int lines_per_second = 100;
  };

  explicit LineBudget(Options options);

  /// Returns true if a line of this kind may be written now, and counts the
  /// line. `suppressed` is set to the number of lines of the kind that were
  /// suppressed since the last one written, or to 0 if this line may not be
  /// written.
  bool Take(const std::string& kind, Instant now, uint64_t& suppressed);

 private:
  struct Kind {
    /// Start of the current window of one second.
    Instant window_start;
    int written_in_window = 0;
    uint64_t suppressed = 0;
  };

  Options options;
  std::map<std::string, Kind> kinds;
};

}  // namespace kingcupstair::logging

#endif  // COMPONENTS_LOGGING_LINE_BUDGET_H_
