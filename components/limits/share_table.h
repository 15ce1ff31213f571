#ifndef COMPONENTS_LIMITS_SHARE_TABLE_H_
#define COMPONENTS_LIMITS_SHARE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace kingcupstair::limits {

/// Sum of all shares, in parts. Parts are integers, so that sums are exact.
inline constexpr int64_t kTotalParts = 1'000'000'000;

/// Entry of one host in the share table.
struct ShareEntry {
  /// Share of the host, out of kTotalParts.
  int64_t parts = 0;
  std::string zone;
  std::string region;
  /// Address at which operators' tools reach the host.
  std::string admin;

  bool operator==(const ShareEntry&) const = default;
};

/// Transfer of parts from one host to another.
struct ShareMove {
  std::string from;
  std::string to;
  int64_t parts = 0;

  bool operator==(const ShareMove&) const = default;
};

/// Record in the store of each host's share of all rate limits. Only the host
/// that gives up parts may move them, and it lowers its own share before it
/// writes the table, so the shares in use never exceed the whole.
class ShareTable {
 public:
  /// Returns the entry of `host`, or null if there is none.
  const ShareEntry* Find(const std::string& host) const;

  /// Returns the share of `host` as a fraction from 0 to 1, or 0 if the table
  /// has no entry of `host`.
  double Fraction(const std::string& host) const;

  /// Returns the first table of a fleet, with equal shares for all `hosts`.
  static ShareTable EqualShares(const std::map<std::string, ShareEntry>& hosts);

  /// Adds `host`, or updates its zone, region and admin address from `entry`.
  /// The first host of a table gets all parts, later ones none; the parts in
  /// `entry` are ignored. Returns false if the table did not change.
  bool AddOrUpdateHost(const std::string& host, const ShareEntry& entry);

  /// Returns the move that `host` should make towards equal shares, or nothing
  /// if no move justifies a write to the store.
  std::optional<ShareMove> NextMove(const std::string& host) const;

  /// Carries out `move`. Returns false, without a change, if a host of the move
  /// has no entry, `from` has too few parts, or the move has none.
  bool Apply(const ShareMove& move);

  /// Removes `host` for good and distributes its parts over the other hosts.
  /// Only for operators who are certain that the host will not run again.
  /// Returns false if `host` has no entry or the only entry.
  bool Remove(const std::string& host);

  const std::map<std::string, ShareEntry>& hosts() const {
    return this->entries;
  }

  bool operator==(const ShareTable&) const = default;

 private:
  friend absl::StatusOr<ShareTable> DecodeShareTable(std::string_view text);

  std::map<std::string, ShareEntry> entries;
};

/// Returns `table` as the JSON text that is stored.
std::string EncodeShareTable(const ShareTable& table);

/// Parses the JSON text of a stored table. Returns a data loss error if the
/// text is not a share table, or if its shares exceed the whole.
absl::StatusOr<ShareTable> DecodeShareTable(std::string_view text);

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARE_TABLE_H_
