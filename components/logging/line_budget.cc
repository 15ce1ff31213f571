#include "components/logging/line_budget.h"

#include <utility>

namespace kingcupstair::logging {

LineBudget::LineBudget(Options options) : options(options) {}

bool LineBudget::Take(const std::string& name,
                      Instant now,
                      uint64_t& suppressed) {
  Kind& kind = this->kinds[name];
  suppressed = 0;
  if (now - kind.window_start >= std::chrono::seconds(1)) {
    kind.window_start = now;
    kind.written_in_window = 0;
  }
  if (kind.written_in_window >= this->options.lines_per_second) {
    ++kind.suppressed;
    return false;
  }
  ++kind.written_in_window;
  suppressed = std::exchange(kind.suppressed, 0);
  return true;
}

}  // namespace kingcupstair::logging
