#include "components/limits/share_lender.h"

#include <algorithm>

namespace kingcupstair::limits {

ShareLender::ShareLender(Options options) : options(options) {}

void ShareLender::HoldBackUntil(Instant until) {
  for (Loan& loan : this->loans) {
    loan = {.fraction = 1, .expires = until + this->options.margin};
  }
}

LoanGrant ShareLender::Lend(ShardId shard,
                            const std::string& holder,
                            uint64_t mark,
                            Instant now) {
  Loan& loan = this->loans[static_cast<size_t>(shard)];
  const bool taken = loan.expires > now && loan.holder != holder;
  const auto distrust = this->distrusted.find(holder);
  const bool trusted =
      distrust == this->distrusted.end() || distrust->second <= now;
  if (taken || !trusted || this->share <= 0) {
    return {};
  }
  loan.mark = loan.holder == holder ? std::max(loan.mark, mark) : mark;
  loan.holder = holder;
  loan.fraction = this->share;
  loan.expires = now + this->options.loan_life + this->options.margin;
  return {.fraction = this->share, .life = this->options.loan_life};
}

// A path may be cut one way: the pool goes on asking for loans while nothing
// comes back from it. Its loan then has to run out, or this host would have no
// share to spend for as long as the cut lasts.
void ShareLender::Distrust(const std::string& holder, Instant until) {
  this->distrusted[holder] = until;
}

void ShareLender::Return(ShardId shard,
                         const std::string& holder,
                         uint64_t mark,
                         Instant now) {
  Loan& loan = this->loans[static_cast<size_t>(shard)];
  if (loan.holder == holder && loan.mark <= mark) {
    loan.holder.clear();
    loan.expires = std::min(loan.expires, now + this->options.margin);
  }
}

Instant ShareLender::FreeOfOldLoans(double fraction) const {
  Instant free;
  for (const Loan& loan : this->loans) {
    if (loan.fraction > fraction) {
      free = std::max(free, loan.expires);
    }
  }
  return free;
}

}  // namespace kingcupstair::limits
