#ifndef COMPONENTS_STORE_PUBLISHER_H_
#define COMPONENTS_STORE_PUBLISHER_H_

#include <cstdint>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "components/config/head.h"
#include "components/store/client.h"

namespace kingcupstair::store {

/// The configuration as it stands in the store.
struct StoredConfiguration {
  config::Head head;
  /// The store's version of the head record.
  uint64_t head_version = 0;
  std::string text;

  bool operator==(const StoredConfiguration&) const = default;
};

/// The new configuration is the one in the store.
struct Published {
  uint64_t revision = 0;

  bool operator==(const Published&) const = default;
};

/// Somebody else's change came first; nothing of ours is in force.
struct LostRace {
  StoredConfiguration winner;

  bool operator==(const LostRace&) const = default;
};

using PublishResult = std::variant<Published, LostRace>;

/// Who changes the configuration, and what.
struct Change {
  std::string text;
  std::string author;
  std::string summary;

  bool operator==(const Change&) const = default;
};

/// Reads the configuration that stands in the store; revision 0 when none.
absl::StatusOr<StoredConfiguration> ReadConfiguration(const Client& client);

/// Puts a change in the place of `base`, by compare-and-swap on the head.
/// Retries lost answers without ever writing twice. An error says that the
/// outcome is not known.
absl::StatusOr<PublishResult> Publish(const Client& client,
                                      const StoredConfiguration& base,
                                      const Change& change);

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_PUBLISHER_H_
