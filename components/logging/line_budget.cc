#include "components/logging/line_budget.h"

#include <utility>

namespace kingcupstair::logging {

LineBudget::LineBudget(Options options) : options(options) {}

bool LineBudget::Take(const std::string& name,
                      Instant now,
                      uint64_t& left_out) {
  Kind& kind = this->kinds[name];
  left_out = 0;
  if (now - kind.second >= std::chrono::seconds(1)) {
    kind.second = now;
    kind.written = 0;
  }
  if (kind.written >= this->options.lines_per_second) {
    ++kind.left_out;
    return false;
  }
  ++kind.written;
  left_out = std::exchange(kind.left_out, 0);
  return true;
}

}  // namespace kingcupstair::logging
