#ifndef COMPONENTS_STORE_DEPARTURES_H_
#define COMPONENTS_STORE_DEPARTURES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "components/store/client.h"

namespace kingcupstair::store {

/// Departures of the upstreams of one host, as kept in the store.
struct StoredDepartures {
  /// Names of the departures, see guard::Departures.
  std::vector<std::string> names;
  /// Version of the key; 0 if the host has never kept any.
  uint64_t version = 0;

  bool operator==(const StoredDepartures&) const = default;
};

/// Reads the departures of the upstreams of `host`.
absl::StatusOr<StoredDepartures> ReadDepartures(const Client& client,
                                                const std::string& host);

/// Replaces `base`, as read before, by `names`. Returns kConflict if the key
/// was written since.
absl::StatusOr<PutResult> WriteDepartures(const Client& client,
                                          const std::string& host,
                                          const std::vector<std::string>& names,
                                          const StoredDepartures& base);

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_DEPARTURES_H_
