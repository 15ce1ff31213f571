#include "components/config/replica.h"

#include <set>
#include <utility>

#include "components/config/chunks.h"

namespace kingcupstair::config {

OfferResult Replica::Offer(const Head& offered) {
  if (offered.revision < this->head.revision) {
    return OfferResult::kOlder;
  }
  if (offered.revision == this->head.revision) {
    return OfferResult::kSame;
  }
  if (!this->pending.has_value() ||
      this->pending->revision < offered.revision) {
    this->pending = offered;
  }
  return OfferResult::kPending;
}

std::vector<std::string> Replica::MissingChunks() const {
  std::vector<std::string> missing;
  if (!this->pending.has_value()) {
    return missing;
  }
  for (const std::string& id : this->pending->chunks) {
    if (!this->chunks.contains(id)) {
      missing.push_back(id);
    }
  }
  return missing;
}

bool Replica::AddChunk(const std::string& id, std::string text) {
  if (ChunkId(text) != id) {
    return false;
  }
  this->chunks[id] = std::move(text);
  return true;
}

std::optional<std::vector<RuleError>> Replica::TryAdopt() {
  if (!this->pending.has_value() || !this->MissingChunks().empty()) {
    return std::nullopt;
  }
  const Head candidate = *std::exchange(this->pending, std::nullopt);
  if (candidate.chunks == this->head.chunks) {
    this->current = std::make_shared<const Configuration>(
        this->current->AtRevision(candidate.revision));
    this->head = candidate;
    return std::vector<RuleError>{};
  }
  auto built =
      Configuration::Build(candidate.revision, this->JoinChunks(candidate));
  if (auto* errors = std::get_if<std::vector<RuleError>>(&built)) {
    return std::move(*errors);
  }
  this->current = std::make_shared<const Configuration>(
      std::get<Configuration>(std::move(built)));
  this->head = candidate;
  this->RemoveUnusedChunks();
  return std::vector<RuleError>{};
}

const std::string* Replica::FindChunk(const std::string& id) const {
  const auto found = this->chunks.find(id);
  return found == this->chunks.end() ? nullptr : &found->second;
}

std::string Replica::ActiveText() const {
  return this->JoinChunks(this->head);
}

std::string Replica::JoinChunks(const Head& joined_head) const {
  std::string text;
  for (const std::string& id : joined_head.chunks) {
    text += this->chunks.at(id);
  }
  return text;
}

void Replica::RemoveUnusedChunks() {
  const std::set<std::string> used(this->head.chunks.begin(),
                                   this->head.chunks.end());
  std::erase_if(this->chunks,
                [&](const auto& entry) { return !used.contains(entry.first); });
}

}  // namespace kingcupstair::config
