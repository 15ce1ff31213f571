#ifndef COMPONENTS_CONTROL_CONFIG_KEEPER_H_
#define COMPONENTS_CONTROL_CONFIG_KEEPER_H_

#include <mutex>
#include <string>
#include <vector>

#include "components/base/snapshot.h"
#include "components/config/configuration.h"
#include "components/config/replica.h"

namespace kingcupstair::control {

/// The result of an attempt to adopt the pending configuration.
struct Adoption {
  /// Whether another content is in force; a revision may have the same content
  /// as the one before.
  bool changed = false;
  /// The errors for which the pending text was rejected; empty if it was not
  /// rejected.
  std::vector<config::RuleError> errors;
};

/// The configuration of this process: a replica that several threads update
/// under a lock, and a snapshot that requests read without locks.
class ConfigKeeper {
 public:
  /// Decodes a head and makes it the pending one if its revision is higher than
  /// the active one. Returns false if the text can't be decoded or the revision
  /// is not higher.
  bool OfferHead(const std::string& text);

  /// Returns the ids of the chunks that the pending head still lacks.
  std::vector<std::string> MissingChunks() const;

  /// Adds a chunk of the pending head. Returns false if `text` is not the
  /// content of the chunk `id`.
  bool AddChunk(const std::string& id, const std::string& text);

  /// Makes the pending configuration the active one if all its chunks are
  /// present and its text is valid.
  Adoption TryAdopt();

  /// Returns the encoded head of the active configuration.
  std::string HeadText() const;

  /// Returns the texts of the chunks `ids` in the same order. The text of an
  /// unknown chunk is empty.
  std::vector<std::string> ChunkTexts(
      const std::vector<std::string>& ids) const;

  /// Returns the text of the active configuration.
  std::string Text() const;

  uint64_t Revision() const { return this->current.Read()->revision(); }

  const Snapshot<config::Configuration>& snapshot() const {
    return this->current;
  }

 private:
  mutable std::mutex mutex;
  config::Replica replica;
  Snapshot<config::Configuration> current;
};

}  // namespace kingcupstair::control

#endif  // COMPONENTS_CONTROL_CONFIG_KEEPER_H_
