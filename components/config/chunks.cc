#include "components/config/chunks.h"

#include <algorithm>

#include "components/base/hash.h"

namespace kingcupstair::config {
namespace {

/// On average one line in this many ends a chunk. A chunk that has more lines
/// ends at one line in kLinesPerEndOfLongChunk, which keeps chunks short.
constexpr uint64_t kLinesPerEnd = 64;
constexpr uint64_t kLinesPerEndOfLongChunk = 8;
constexpr size_t kMaxChunkBytes = 256 * 1024;
constexpr size_t kIdHexDigits = 32;

bool IsChunkEnd(std::string_view line, size_t lines_before) {
  const uint64_t lines =
      lines_before < kLinesPerEnd ? kLinesPerEnd : kLinesPerEndOfLongChunk;
  return StableHash(line) % lines == 0;
}

}  // namespace

std::string ChunkId(std::string_view text) {
  return Sha256Hex(text).substr(0, kIdHexDigits);
}

std::vector<Chunk> SplitIntoChunks(std::string_view text) {
  std::vector<Chunk> chunks;
  std::string pending;
  size_t pending_lines = 0;
  const auto finish_chunk = [&] {
    chunks.push_back({.id = ChunkId(pending), .text = pending});
    pending.clear();
    pending_lines = 0;
  };
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size() - 1) + 1;
    const std::string_view line = text.substr(0, end);
    if (!pending.empty() && pending.size() + line.size() > kMaxChunkBytes) {
      finish_chunk();
    }
    pending.append(line);
    text.remove_prefix(end);
    if (IsChunkEnd(line, pending_lines++)) {
      finish_chunk();
    }
  }
  if (!pending.empty()) {
    finish_chunk();
  }
  return chunks;
}

}  // namespace kingcupstair::config
