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

/// What offering a head to a replica led to.
enum class OfferResult {
  kOlder,    ///< Lower than the revision in force; never adopted.
  kSame,     ///< In force already.
  kPending,  ///< Higher: adopted once all its chunks are there.
};

/// One host's copy of the configuration. Its revision only ever rises.
class Replica {
 public:
  /// Considers a head heard from the store or a peer.
  OfferResult Offer(const Head& head);

  /// Chunks of the pending head that are not here yet.
  std::vector<std::string> MissingChunks() const;

  /// Adds a chunk of the pending head; false when `text` is not its content.
  bool AddChunk(const std::string& id, std::string text);

  /// Puts the pending head in force if it is whole. Gives nothing while chunks
  /// are missing; gives the faults when the text is refused, and stays at the
  /// revision in force.
  std::optional<std::vector<RuleError>> TryAdopt();

  /// The configuration in force.
  std::shared_ptr<const Configuration> Current() const { return this->current; }

  /// The head in force; revision 0 before the first.
  const Head& CurrentHead() const { return this->head; }

  /// The text of a chunk held here, or null.
  const std::string* FindChunk(const std::string& id) const;

  /// The whole text in force.
  std::string CurrentText() const;

 private:
  std::string Join(const Head& head) const;
  void DropUnused();

  Head head;
  std::optional<Head> pending;
  std::map<std::string, std::string> chunks;
  std::shared_ptr<const Configuration> current =
      std::make_shared<const Configuration>();
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_REPLICA_H_
