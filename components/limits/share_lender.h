#ifndef COMPONENTS_LIMITS_SHARE_LENDER_H_
#define COMPONENTS_LIMITS_SHARE_LENDER_H_

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/limits/loan_block.h"
#include "components/limits/shard.h"

namespace kingcupstair::limits {

/// Response of a lender to a loan request: the lent fraction of every rate
/// limit of the shard, and the lifetime of the loan, counted from the grant by
/// the lender. A fraction of 0 is a refusal.
struct LoanGrant {
  double fraction = 0;
  Duration lifetime{};

  bool operator==(const LoanGrant&) const = default;
};

/// Loan that the lender sends with a permit request, without a loan request
/// from the pool host.
struct LoanOffer {
  /// Loan sequence number from the latest response of the pool host to the
  /// lender. The pool host counts the lifetime of the loan from when that
  /// response was sent, so a delay of the offer only shortens the loan.
  uint64_t loan_sequence_number = 0;
  std::vector<ShardId> shards;
  LoanGrant grant;

  bool operator==(const LoanOffer&) const = default;
};

/// Lender of one host's share of all rate limits. The share is lent separately
/// for each shard, to one borrower at a time. Only the borrower may spend it.
class ShareLender {
 public:
  struct Options {
    Duration loan_lifetime{std::chrono::seconds(2)};
    /// Time by which a loan lasts longer for the lender than the borrower may
    /// grant permits from it. The margin covers the lifetime of the last permit
    /// and clocks that run at different speeds.
    Duration margin{std::chrono::milliseconds(300)};
  };

  explicit ShareLender(Options options);

  /// Sets the lifetime of new loans.
  void SetLoanLifetime(Duration lifetime) {
    this->options.loan_lifetime = lifetime;
  }

  /// Blocks all loans until `until` and the margin after it: a former process
  /// at this address may have lent the share just before the process ended.
  /// `block` states how the block can end early.
  void BlockLoansUntil(Instant until, const LoanBlock& block = {});

  /// Ends the block of `token`, because no host holds a loan of the former
  /// process any more. Permits that were granted from such loans remain valid
  /// for a while, so loans are refused until the margin has passed.
  void EndBlock(uint64_t token, Instant now);

  /// Returns the block, or an empty one if it has ended or can't end early.
  LoanBlock Block(Instant now) const;

  /// Sets the hosts to which the share may be lent. Before the first call it
  /// may be lent to any host.
  void SetEligibleBorrowers(std::set<std::string> borrowers) {
    this->eligible_borrowers = std::move(borrowers);
  }

  /// Sets the current share, from 0 to 1. A lower share does not shorten
  /// existing loans: see LatestExpiryOfLoansAbove.
  void SetShare(double fraction) { this->share = fraction; }

  /// Lends the share of `shard` to `borrower`, or renews its loan. Refuses
  /// while the share is on loan to another borrower or loans to `borrower` are
  /// blocked. `sequence_number` orders the loan requests and loan offers of
  /// this borrower.
  LoanGrant Lend(ShardId shard,
                 const std::string& borrower,
                 uint64_t sequence_number,
                 Instant now);

  /// Refuses loans to `borrower` until `until`, because this host can't get
  /// permits from `borrower`.
  void RefuseLoansTo(const std::string& borrower, Instant until);

  /// Ends a loan that its borrower has returned. The borrower grants no more
  /// permits from the loan, but permits granted before remain valid for a
  /// while. The share of `shard` is therefore lent to no host until the margin
  /// has passed, or until the loan expires if that is earlier. A loan with a
  /// higher sequence number was made after the return and remains.
  void AcceptReturn(ShardId shard,
                    const std::string& borrower,
                    uint64_t sequence_number,
                    Instant now);

  /// Returns the time from which no loan of more than `fraction` is valid, with
  /// the margin.
  Instant LatestExpiryOfLoansAbove(double fraction) const;

  double current_share() const { return this->share; }

 private:
  struct Loan {
    std::string borrower;
    double fraction = 0;
    Instant expires;
    /// Highest loan sequence number with which the share was lent to
    /// `borrower`.
    uint64_t sequence_number = 0;
  };

  Options options;
  double share = 0;
  std::array<Loan, kShardCount> loans;
  /// Times until which loans are refused, by borrower.
  std::map<std::string, Instant> refused_until;
  std::set<std::string> eligible_borrowers;
  LoanBlock block;
  Instant blocked_until;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARE_LENDER_H_
