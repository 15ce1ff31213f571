#ifndef COMPONENTS_LIMITS_LOAN_SWEEP_H_
#define COMPONENTS_LIMITS_LOAN_SWEEP_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/limits/loan_block.h"

namespace kingcupstair::limits {

/// Sweep by a pool host after many hosts have restarted: has all hosts drop the
/// loans of the restarted lenders, and then lets these lend again. Answers the
/// load pattern of a restart of all hosts, after which nobody would have
/// permits for the lifetime of a loan.
///
/// A lender is part of a sweep only if its present process has stated before
/// the sweep began that it is blocked. Its former process had ended by then, so
/// no host that has dropped its loans can get another one from it.
class LoanSweep {
 public:
  struct Options {
    /// A sweep begins only if at least one in this many hosts is blocked. A
    /// single host's share is not worth a call to each host.
    size_t blocked_divisor = 16;
    /// A sweep that some host has not confirmed by then is given up. All blocks
    /// that it could end have expired.
    Duration longest{std::chrono::milliseconds(2500)};
  };

  explicit LoanSweep(Options options);

  /// Sets the hosts of the region that have entries in the share table. Forgets
  /// all else if they have changed.
  void SetHosts(const std::set<std::string>& hosts);

  /// Records whether `lender` is blocked, as it stated. A lender that grants
  /// loans is not.
  void RecordResponse(const std::string& lender, const LoanBlock& block);

  /// Begins a sweep if none is under way, each host has responded to a loan
  /// request and enough of them are blocked. Gives up an old sweep.
  void Update(Instant now);

  /// Returns the hosts that have yet to drop the loans of Lenders(). Empty if
  /// no sweep is under way.
  const std::set<std::string>& Unconfirmed() const { return this->unconfirmed; }

  /// Returns the lenders whose loans the hosts drop in this sweep.
  std::vector<std::string> Lenders() const;

  /// Returns the number of the present sweep.
  uint64_t number() const { return this->sweep_number; }

  /// Records that `host` has dropped the loans of the lenders of sweep
  /// `number`.
  void RecordDropped(uint64_t number, const std::string& host);

  /// Returns the token with which the block of `lender` ends, or 0.
  uint64_t ClearanceFor(const std::string& lender) const;

 private:
  Options options;
  std::set<std::string> hosts;
  uint64_t digest = 0;
  /// The latest response of each host.
  std::map<std::string, LoanBlock> responses;
  uint64_t sweep_number = 0;
  Instant began_at;
  std::set<std::string> unconfirmed;
  /// Tokens of the lenders of the present sweep.
  std::map<std::string, uint64_t> swept;
  /// Tokens of the lenders whose sweep all hosts have confirmed.
  std::map<std::string, uint64_t> cleared;
};

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_LOAN_SWEEP_H_
