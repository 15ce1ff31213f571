#ifndef COMPONENTS_CONTROL_CONFIG_KEEPER_H_
#define COMPONENTS_CONTROL_CONFIG_KEEPER_H_

#include <mutex>
#include <string>
#include <vector>

#include "components/base/snapshot.h"
#include "components/config/configuration.h"
#include "components/config/replica.h"

namespace kingcupstair::control {

/// What adopting a pending configuration led to.
struct Adoption {
  bool adopted = false;
  /// Why the pending text was refused, if it was.
  std::vector<config::RuleError> faults;
};

/// The configuration of this process: a replica that several threads feed and
/// a snapshot that requests read without locks.
class ConfigKeeper {
 public:
  /// Considers a head in its text form; true when it is higher than the one in
  /// force.
  bool OfferHead(const std::string& text);

  std::vector<std::string> MissingChunks() const;

  /// False when the text is not that of the chunk.
  bool AddChunk(const std::string& id, const std::string& text);

  /// Puts the pending configuration in force if it is whole.
  Adoption TryAdopt();

  std::string HeadText() const;
  std::vector<std::string> ChunkTexts(
      const std::vector<std::string>& ids) const;
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
