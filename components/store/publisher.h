#ifndef COMPONENTS_STORE_PUBLISHER_H_
#define COMPONENTS_STORE_PUBLISHER_H_

#include <cstdint>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "components/config/head.h"
#include "components/store/client.h"

namespace kingcupstair::store {

/// The configuration that the store holds.
struct StoredConfiguration {
  config::Head head;
  /// Version of the head record in the store; 0 if there is no head.
  uint64_t head_version = 0;
  std::string text;

  bool operator==(const StoredConfiguration&) const = default;
};

/// The change was published.
struct Published {
  uint64_t revision = 0;

  bool operator==(const Published&) const = default;
};

/// Version conflict: another change was published first. This change has no
/// effect.
struct VersionConflict {
  /// The configuration that the store holds instead.
  StoredConfiguration stored;

  bool operator==(const VersionConflict&) const = default;
};

using PublishResult = std::variant<Published, VersionConflict>;

/// A new configuration text, with its author and a short description.
struct ConfigurationChange {
  std::string text;
  std::string author;
  std::string summary;

  bool operator==(const ConfigurationChange&) const = default;
};

/// Reads the configuration from the store. Returns revision 0 and an empty text
/// if the store holds no configuration.
absl::StatusOr<StoredConfiguration> ReadConfiguration(const Client& client);

/// Replaces the configuration `base` in the store by `change`, with a
/// compare-and-swap on the head. Retries after a lost response; the change
/// takes effect at most once. An error means that the outcome is unknown.
absl::StatusOr<PublishResult> Publish(const Client& client,
                                      const StoredConfiguration& base,
                                      const ConfigurationChange& change);

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_PUBLISHER_H_
