#include "components/config/reception.h"

#include <utility>

#include "components/config/chunks.h"

namespace kingcupstair::config {

Reception::Reception(Head head, const ChunkTexts& known)
    : offered(std::move(head)) {
  for (const std::string& id : this->offered.chunks) {
    if (const auto found = known.find(id); found != known.end()) {
      this->texts.insert(*found);
    }
  }
}

std::vector<std::string> Reception::MissingChunks() const {
  std::vector<std::string> missing;
  for (const std::string& id : this->offered.chunks) {
    if (!this->texts.contains(id)) {
      missing.push_back(id);
    }
  }
  return missing;
}

bool Reception::AddChunk(const std::string& id, std::string text) {
  if (ChunkId(text) != id) {
    return false;
  }
  this->texts[id] = std::move(text);
  return true;
}

std::string Reception::Text() const {
  std::string text;
  for (const std::string& id : this->offered.chunks) {
    text += this->texts.at(id);
  }
  return text;
}

}  // namespace kingcupstair::config
