#ifndef COMPONENTS_LIMITS_SHARE_TABLE_H_
#define COMPONENTS_LIMITS_SHARE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace kingcupstair::limits {

/// All shares together, in whole parts, so that sums are exact.
inline constexpr int64_t kAllParts = 1'000'000'000;

/// A host's line in the share table.
struct ShareEntry {
  int64_t parts = 0;
  std::string zone;
  std::string region;
  /// Where operators' tools reach the host.
  std::string admin;

  bool operator==(const ShareEntry&) const = default;
};

/// Parts that one host hands to another.
struct ShareMove {
  std::string from;
  std::string to;
  int64_t parts = 0;

  bool operator==(const ShareMove&) const = default;
};

/// The record in the store that says which host holds which share of all rate
/// limits. Only the host that gives may move its own parts, and it lowers its
/// own share before it writes, so the shares in use never exceed the whole.
class ShareTable {
 public:
  /// The entry of `host`, or null.
  const ShareEntry* Find(const std::string& host) const;

  /// The share of `host` as a fraction of the whole.
  double Fraction(const std::string& host) const;

  /// The first table of a fleet: equal shares for all `hosts`.
  static ShareTable EqualShares(const std::map<std::string, ShareEntry>& hosts);

  /// Adds `host` or renews its places. The first host of a table gets all
  /// parts, later ones none. False when nothing changed.
  bool Join(const std::string& host, const ShareEntry& places);

  /// The move that `host` should make towards equal shares, if one is worth
  /// a write.
  std::optional<ShareMove> NextMove(const std::string& host) const;

  /// Carries out a move; false when the giver has too little.
  bool Apply(const ShareMove& move);

  /// Takes a host out for good and spreads its parts over the others. Only for
  /// operators who know that it will not run again.
  bool Remove(const std::string& host);

  const std::map<std::string, ShareEntry>& hosts() const {
    return this->entries;
  }

  bool operator==(const ShareTable&) const = default;

 private:
  friend absl::StatusOr<ShareTable> DecodeShareTable(std::string_view text);

  std::map<std::string, ShareEntry> entries;
};

std::string EncodeShareTable(const ShareTable& table);
absl::StatusOr<ShareTable> DecodeShareTable(std::string_view text);

}  // namespace kingcupstair::limits

#endif  // COMPONENTS_LIMITS_SHARE_TABLE_H_
