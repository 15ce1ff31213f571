#include "components/config/replica.h"

#include <utility>
#include <variant>

namespace kingcupstair::config {

std::optional<Reception> Replica::Receive(Head offered) const {
  if (offered.revision <= this->head.revision) {
    return std::nullopt;
  }
  Reception reception(std::move(offered), this->chunks);
  for (const std::string& id : reception.MissingChunks()) {
    if (const auto found = this->kept.find(id); found != this->kept.end()) {
      reception.AddChunk(id, found->second);
    }
  }
  return reception;
}

std::optional<std::vector<RuleError>> Replica::Adopt(
    const Reception& received) {
  const Head& candidate = received.head();
  if (candidate.revision <= this->head.revision || !received.IsComplete()) {
    return std::nullopt;
  }
  if (candidate.chunks == this->head.chunks) {
    this->current = std::make_shared<const Configuration>(
        this->current->AtRevision(candidate.revision));
    this->head = candidate;
    return std::vector<RuleError>{};
  }
  auto built = Configuration::Build(candidate.revision, received.Text());
  if (auto* errors = std::get_if<std::vector<RuleError>>(&built)) {
    return std::move(*errors);
  }
  this->current = std::make_shared<const Configuration>(
      std::get<Configuration>(std::move(built)));
  this->head = candidate;
  this->chunks = received.chunks();
  this->kept.clear();
  return std::vector<RuleError>{};
}

const std::string* Replica::FindChunk(const std::string& id) const {
  const auto found = this->chunks.find(id);
  return found == this->chunks.end() ? nullptr : &found->second;
}

std::string Replica::ActiveText() const {
  std::string text;
  for (const std::string& id : this->head.chunks) {
    text += this->chunks.at(id);
  }
  return text;
}

}  // namespace kingcupstair::config
