#ifndef COMPONENTS_CONFIG_CHUNKS_H_
#define COMPONENTS_CONFIG_CHUNKS_H_

#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::config {

/// A run of whole lines of the operators' file, named by its content.
struct Chunk {
  std::string id;
  std::string text;

  bool operator==(const Chunk&) const = default;
};

/// The id that a chunk with this text has.
std::string ChunkId(std::string_view text);

/// Cuts a text into chunks at lines picked by their content, so that a change
/// to one line changes one chunk, or two, and leaves the others' ids alone.
std::vector<Chunk> SplitIntoChunks(std::string_view text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_CHUNKS_H_
