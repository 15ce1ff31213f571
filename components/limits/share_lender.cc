#include "components/limits/share_lender.h"

#include <algorithm>

namespace kingcupstair::limits {

ShareLender::ShareLender(Options options) : options(options) {}

void ShareLender::BlockLoansUntil(Instant until, const LoanBlock& block) {
  this->block = block;
  this->blocked_until = until + this->options.margin;
  for (Loan& loan : this->loans) {
    loan = {.fraction = 1,
            .expires = std::max(loan.expires, this->blocked_until)};
  }
}

void ShareLender::EndBlock(uint64_t token, Instant now) {
  if (token == 0 || token != this->block.token) {
    return;
  }
  this->block = {};
  for (Loan& loan : this->loans) {
    if (loan.borrower.empty()) {
      loan.expires = std::min(loan.expires, now + this->options.margin);
    }
  }
}

LoanBlock ShareLender::Block(Instant now) const {
  return now < this->blocked_until ? this->block : LoanBlock{};
}

LoanGrant ShareLender::Lend(ShardId shard,
                            const std::string& borrower,
                            uint64_t sequence_number,
                            Instant now) {
  Loan& loan = this->loans[static_cast<size_t>(shard)];
  const bool taken = loan.expires > now && loan.borrower != borrower;
  const auto refusal = this->refused_until.find(borrower);
  // After a restart, this host accounts for loans of its former process at the
  // hosts in the share table only.
  const bool eligible =
      (refusal == this->refused_until.end() || refusal->second <= now) &&
      (this->eligible_borrowers.empty() ||
       this->eligible_borrowers.contains(borrower));
  if (taken || !eligible || this->share <= 0) {
    return {};
  }
  loan.sequence_number = loan.borrower == borrower
                             ? std::max(loan.sequence_number, sequence_number)
                             : sequence_number;
  loan.borrower = borrower;
  loan.fraction = this->share;
  loan.expires = now + this->options.loan_lifetime + this->options.margin;
  return {.fraction = this->share, .lifetime = this->options.loan_lifetime};
}

// A path may fail in one direction: the pool host goes on requesting loans
// while no response from the pool host arrives here. The loan to this pool host
// has to expire, or this host has no share to spend until the path is restored.
void ShareLender::RefuseLoansTo(const std::string& borrower, Instant until) {
  this->refused_until[borrower] = until;
}

void ShareLender::AcceptReturn(ShardId shard,
                               const std::string& borrower,
                               uint64_t sequence_number,
                               Instant now) {
  Loan& loan = this->loans[static_cast<size_t>(shard)];
  if (loan.borrower == borrower && loan.sequence_number <= sequence_number) {
    loan.borrower.clear();
    loan.expires = std::min(loan.expires, now + this->options.margin);
  }
}

Instant ShareLender::LatestExpiryOfLoansAbove(double fraction) const {
  Instant latest_expiry;
  for (const Loan& loan : this->loans) {
    if (loan.fraction > fraction) {
      latest_expiry = std::max(latest_expiry, loan.expires);
    }
  }
  return latest_expiry;
}

}  // namespace kingcupstair::limits
