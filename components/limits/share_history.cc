#include "components/limits/share_history.h"

#include <algorithm>

namespace kingcupstair::limits {

ShareHistory::ShareHistory(Options options) : options(options) {}

void ShareHistory::Record(double share, Instant now) {
  if (this->shares.empty() || share != this->shares.back().share) {
    this->shares.push_back({.share = share, .since = now});
  }
}

double ShareHistory::Least(Instant now) {
  while (this->shares.size() > 1 &&
         this->shares[1].since <= now - this->options.span) {
    this->shares.pop_front();
  }
  const auto least = std::min_element(this->shares.begin(), this->shares.end(),
                                      [](const Held& left, const Held& right) {
                                        return left.share < right.share;
                                      });
  return least == this->shares.end() ? 0 : least->share;
}

}  // namespace kingcupstair::limits
