#ifndef COMPONENTS_STORE_SHARES_H_
#define COMPONENTS_STORE_SHARES_H_

#include "absl/status/statusor.h"
#include "components/limits/share_table.h"
#include "components/store/client.h"

namespace kingcupstair::store {

/// The share table as it is in the store. Each era of the store has a table of
/// its own, so that a delayed write of a former era does not change the present
/// one although versions are given out again.
struct StoredShareTable {
  /// Returns true if neither the present era nor a former one has a table.
  bool IsAbsent() const { return this->version == 0 && !this->of_former_era; }

  limits::ShareTable table;
  /// The present era when the table was read.
  uint64_t era = 0;
  /// Version of the table of the present era; 0 if there is none.
  uint64_t version = 0;
  /// The table is that of a former era: the present one has none yet.
  bool of_former_era = false;
};

/// Reads the table of the present era or, if there is none yet, that of the
/// latest former one.
absl::StatusOr<StoredShareTable> ReadShareTable(const Client& client);

/// Writes the table of the era in which `base` was read, if its version is
/// still that of `base`.
absl::StatusOr<PutResult> WriteShareTable(const Client& client,
                                          const limits::ShareTable& table,
                                          const StoredShareTable& base);

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_SHARES_H_
