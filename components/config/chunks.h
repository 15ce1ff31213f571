#ifndef COMPONENTS_CONFIG_CHUNKS_H_
#define COMPONENTS_CONFIG_CHUNKS_H_

#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::config {

/// Consecutive whole lines of the configuration text, identified by a hash of
/// their content.
struct Chunk {
  std::string id;
  std::string text;

  bool operator==(const Chunk&) const = default;
};

/// Returns the id of a chunk with this text.
std::string ChunkId(std::string_view text);

/// Splits a text into chunks. Chunk boundaries depend on the content of lines,
/// so a change to one line changes the ids of few chunks.
std::vector<Chunk> SplitIntoChunks(std::string_view text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_CHUNKS_H_
