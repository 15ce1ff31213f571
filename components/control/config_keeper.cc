#include "components/control/config_keeper.h"

namespace kingcupstair::control {

bool ConfigKeeper::OfferHead(const std::string& text) {
  const auto head = config::DecodeHead(text);
  if (!head.ok()) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  return this->replica.Offer(*head) == config::OfferResult::kPending;
}

std::vector<std::string> ConfigKeeper::MissingChunks() const {
  const std::lock_guard lock(this->mutex);
  return this->replica.MissingChunks();
}

bool ConfigKeeper::AddChunk(const std::string& id, const std::string& text) {
  const std::lock_guard lock(this->mutex);
  return this->replica.AddChunk(id, text);
}

Adoption ConfigKeeper::TryAdopt() {
  const std::lock_guard lock(this->mutex);
  const config::Head former = this->replica.ActiveHead();
  const auto errors = this->replica.TryAdopt();
  if (!errors.has_value()) {
    return {};
  }
  if (!errors->empty()) {
    return {.errors = *errors};
  }
  this->current.Publish(this->replica.ActiveConfiguration());
  return {.changed = former.revision == 0 ||
                     this->replica.ActiveHead().chunks != former.chunks};
}

std::string ConfigKeeper::HeadText() const {
  const std::lock_guard lock(this->mutex);
  return config::EncodeHead(this->replica.ActiveHead());
}

std::vector<std::string> ConfigKeeper::ChunkTexts(
    const std::vector<std::string>& ids) const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> texts;
  for (const std::string& id : ids) {
    const std::string* text = this->replica.FindChunk(id);
    texts.push_back(text == nullptr ? "" : *text);
  }
  return texts;
}

std::string ConfigKeeper::Text() const {
  const std::lock_guard lock(this->mutex);
  return this->replica.ActiveText();
}

}  // namespace kingcupstair::control
