#ifndef COMPONENTS_CONFIG_REPLICA_H_
#define COMPONENTS_CONFIG_REPLICA_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/config/configuration.h"
#include "components/config/head.h"

namespace kingcupstair::config {

/// Result of offering a head to a replica.
enum class OfferResult {
  kOlder,    ///< Below the active revision; ignored.
  kSame,     ///< The active revision; ignored.
  kPending,  ///< Above the active revision; adopted once all chunks are
             ///< present.
};

/// One host's copy of the configuration. The active revision never decreases.
class Replica {
 public:
  /// Compares a head received from the store or a peer with the active and the
  /// pending revision. Keeps the head as pending if its revision is above both.
  OfferResult Offer(const Head& head);

  /// Returns the ids of the pending head's chunks that are not present yet.
  std::vector<std::string> MissingChunks() const;

  /// Adds a chunk of the pending head. Returns false, and adds nothing, if `id`
  /// is not the id of `text`.
  bool AddChunk(const std::string& id, std::string text);

  /// Makes the pending configuration active if all its chunks are present.
  /// Returns nullopt if nothing is pending or chunks are missing. Returns an
  /// empty list if the pending configuration became active. Returns the errors
  /// if the text is invalid: the pending head is then discarded and the active
  /// configuration stays.
  std::optional<std::vector<RuleError>> TryAdopt();

  /// Returns the active configuration.
  std::shared_ptr<const Configuration> ActiveConfiguration() const {
    return this->current;
  }

  /// Returns the active head; its revision is 0 until the first configuration
  /// is adopted.
  const Head& ActiveHead() const { return this->head; }

  /// Returns the text of a chunk that is present, or null.
  const std::string* FindChunk(const std::string& id) const;

  /// Returns the text of the active configuration.
  std::string ActiveText() const;

 private:
  std::string JoinChunks(const Head& head) const;
  /// Removes the chunks that the active head does not use.
  void RemoveUnusedChunks();

  /// The active head.
  Head head;
  std::optional<Head> pending;
  /// Chunk texts by id.
  std::map<std::string, std::string> chunks;
  std::shared_ptr<const Configuration> current =
      std::make_shared<const Configuration>();
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_REPLICA_H_
