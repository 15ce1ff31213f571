#include "components/config/chunks.h"

#include <algorithm>

#include "components/base/hash.h"

namespace kingcupstair::config {
namespace {

constexpr uint64_t kMeanLinesPerChunk = 128;
constexpr size_t kMaxChunkBytes = 256 * 1024;
constexpr size_t kIdHexDigits = 32;

bool IsChunkEnd(std::string_view line) {
  return StableHash(line) % kMeanLinesPerChunk == 0;
}

}  // namespace

std::string ChunkId(std::string_view text) {
  return Sha256Hex(text).substr(0, kIdHexDigits);
}

std::vector<Chunk> SplitIntoChunks(std::string_view text) {
  std::vector<Chunk> chunks;
  std::string pending;
  const auto finish_chunk = [&] {
    chunks.push_back({.id = ChunkId(pending), .text = pending});
    pending.clear();
  };
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size() - 1) + 1;
    const std::string_view line = text.substr(0, end);
    if (!pending.empty() && pending.size() + line.size() > kMaxChunkBytes) {
      finish_chunk();
    }
    pending.append(line);
    text.remove_prefix(end);
    if (IsChunkEnd(line)) {
      finish_chunk();
    }
  }
  if (!pending.empty()) {
    finish_chunk();
  }
  return chunks;
}

}  // namespace kingcupstair::config
