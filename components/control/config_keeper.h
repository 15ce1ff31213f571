#ifndef COMPONENTS_CONTROL_CONFIG_KEEPER_H_
#define COMPONENTS_CONTROL_CONFIG_KEEPER_H_

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "components/base/snapshot.h"
#include "components/config/configuration.h"
#include "components/config/reception.h"
#include "components/config/replica.h"

namespace kingcupstair::control {

/// The result of an attempt to adopt a received configuration.
struct Adoption {
  /// Whether another content is in force; a revision may have the same content
  /// as the one before.
  bool changed = false;
  /// The errors for which the text was rejected; empty if it was not
  /// rejected.
  std::vector<config::RuleError> errors;
};

/// The configuration of this process: a replica that several threads update
/// under a lock, and a snapshot that requests read without locks.
class ConfigKeeper {
 public:
  /// Decodes a head and begins to receive its configuration. Returns nullopt if
  /// the text can't be decoded or the revision is not above the active one.
  std::optional<config::Reception> Receive(const std::string& head_text) const;

  /// Keeps the chunks of a reception that was broken off, for the next ones.
  void Keep(const config::Reception& broken_off);

  /// Makes a received configuration the active one if all its chunks are
  /// present, its text is valid and its revision is still above the active one.
  Adoption Adopt(const config::Reception& received);

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
