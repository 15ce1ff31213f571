#ifndef COMPONENTS_CONFIG_RECEPTION_H_
#define COMPONENTS_CONFIG_RECEPTION_H_

#include <map>
#include <string>
#include <vector>

#include "components/config/head.h"

namespace kingcupstair::config {

/// Chunk texts by id.
using ChunkTexts = std::map<std::string, std::string>;

/// A configuration that one source sends: its head, and the chunks that have
/// come. Each source has its own, so that one that falls silent holds up no
/// other.
class Reception {
 public:
  /// Takes the chunks of the head that are among `known`.
  Reception(Head head, const ChunkTexts& known);

  const Head& head() const { return this->offered; }

  /// Returns the ids of the chunks that are not present yet.
  std::vector<std::string> MissingChunks() const;

  /// Adds a chunk. Returns false, and adds nothing, if `id` is not the id of
  /// `text`.
  bool AddChunk(const std::string& id, std::string text);

  bool IsComplete() const { return this->MissingChunks().empty(); }

  /// Returns the text of the configuration. Requires all chunks.
  std::string Text() const;

  /// Returns the chunks that are present.
  const ChunkTexts& chunks() const { return this->texts; }

 private:
  Head offered;
  ChunkTexts texts;
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_RECEPTION_H_
