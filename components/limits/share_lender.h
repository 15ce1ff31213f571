#ifndef COMPONENTS_LIMITS_SHARE_LENDER_H_
#define COMPONENTS_LIMITS_SHARE_LENDER_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/limits/shard.h"

namespace kingcupstair::limits {

/// A share lent, as a fraction of every limit of the shard, from the lender's
/// grant on. A fraction of 0 is a refusal.
struct LoanGrant {
  double fraction = 0;
  Duration life{};

  bool operator==(const LoanGrant&) const = default;
};

/// A loan that comes without having been asked for, with an ask for permits.
struct LoanOffer {
  /// From the pool's last answer to the lender. The loan runs from when that
  /// answer was sent, so whatever delays the offer only shortens it.
  uint64_t mark = 0;
  std::vector<ShardId> shards;
  LoanGrant grant;

  bool operator==(const LoanOffer&) const = default;
};

/// Keeps one host's share of all rates and lends it, shard by shard, to one
/// holder at a time. Only the holder of a loan may spend the share.
class ShareLender {
 public:
  /// A loan as seen by the lender lasts `margin` longer than the borrower may
  /// grant permits from it: for the life of the last permit and for clocks that
  /// run at unlike speeds.
  struct Options {
    Duration loan_life{std::chrono::seconds(2)};
    Duration margin{std::chrono::milliseconds(300)};
  };

  explicit ShareLender(Options options);

  /// How long new loans last.
  void SetLoanLife(Duration life) { this->options.loan_life = life; }

  /// Lends nothing before `until`: a former process at this address may have
  /// lent the share just before it ended.
  void HoldBackUntil(Instant until);

  /// Sets the share held now, 0 to 1. A lower share does not shorten loans
  /// that are out: see FreeOfOldLoans.
  void SetShare(double fraction) { this->share = fraction; }

  /// Lends the share of `shard` to `holder`, or renews its loan. Refused while
  /// another holds it. `mark` tells the holder's asks and offers from later
  /// ones.
  LoanGrant Lend(ShardId shard,
                 const std::string& holder,
                 uint64_t mark,
                 Instant now);

  /// Lends nothing to `holder` before `until`, because this host can't get
  /// permits from it.
  void Distrust(const std::string& holder, Instant until);

  /// Takes back a loan from which its holder grants no more permits. Those it
  /// has granted hold on for a while, and so long nothing is lent. A loan with
  /// a higher mark was made after the holder gave it back, and stands.
  void Return(ShardId shard,
              const std::string& holder,
              uint64_t mark,
              Instant now);

  /// The time at which no loan of a fraction above `fraction` is out any more.
  Instant FreeOfOldLoans(double fraction) const;

  double current_share() const { return this->share; }

 private:
  struct Loan {
    std::string holder;
    double fraction = 0;
    Instant expires;
    /// The latest with which it was lent.
    uint64_t mark = 0;
  };

  Options options;
  double share = 0;
  std::array<Loan, kShardCount> loans;
  std::map<std::string, Instant> distrusted;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARE_LENDER_H_
