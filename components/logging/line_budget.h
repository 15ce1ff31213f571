#ifndef COMPONENTS_LOGGING_LINE_BUDGET_H_
#define COMPONENTS_LOGGING_LINE_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>

#include "components/base/time.h"

namespace kingcupstair::logging {

/// Bounds how many lines of each kind are written a second, so that a storm of
/// one kind drowns neither the others nor the process.
class LineBudget {
 public:
  struct Options {
    int lines_per_second = 100;
  };

  explicit LineBudget(Options options);

  /// Whether a line of this kind may be written now. `left_out` gets how many
  /// of the kind were left out before, when this line is the first after them.
  bool Take(const std::string& kind, Instant now, uint64_t& left_out);

 private:
  struct Kind {
    Instant second;
    int written = 0;
    uint64_t left_out = 0;
  };

  Options options;
  std::map<std::string, Kind> kinds;
};

}  // namespace kingcupstair::logging

#endif  // COMPONENTS_LOGGING_LINE_BUDGET_H_
