#ifndef COMPONENTS_CONFIG_REPLICA_H_
#define COMPONENTS_CONFIG_REPLICA_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "components/config/configuration.h"
#include "components/config/head.h"
#include "components/config/reception.h"

namespace kingcupstair::config {

/// One host's copy of the configuration. The active revision never decreases.
class Replica {
 public:
  /// Begins to receive the configuration of a head from the store or a peer.
  /// Returns nullopt if its revision is not above the active one.
  std::optional<Reception> Receive(Head head) const;

  /// Keeps the chunks of a reception that was broken off, for the next ones.
  void Keep(const Reception& broken_off) { this->kept = broken_off.chunks(); }

  /// Makes a received configuration active. Returns nullopt if chunks are
  /// missing or the active revision is not below it any more. Returns an empty
  /// list if it became active, and the errors if its text is invalid.
  std::optional<std::vector<RuleError>> Adopt(const Reception& received);

  /// Returns the active configuration.
  std::shared_ptr<const Configuration> ActiveConfiguration() const {
    return this->current;
  }

  /// Returns the active head; its revision is 0 until the first configuration
  /// is adopted.
  const Head& ActiveHead() const { return this->head; }

  /// Returns the text of a chunk of the active configuration, or null.
  const std::string* FindChunk(const std::string& id) const;

  /// Returns the text of the active configuration.
  std::string ActiveText() const;

 private:
  /// The active head.
  Head head;
  /// Its chunks.
  ChunkTexts chunks;
  /// Chunks of the last reception that was broken off.
  ChunkTexts kept;
  std::shared_ptr<const Configuration> current =
      std::make_shared<const Configuration>();
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_REPLICA_H_
