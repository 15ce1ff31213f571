#include "components/control/config_keeper.h"

#include <utility>

#include "components/base/error.h"
#include "components/logging/log.h"

namespace kingcupstair::control {

std::optional<config::Reception> ConfigKeeper::Receive(
    const std::string& head_text) const {
  auto head = config::DecodeHead(head_text);
  if (!head.ok()) {
    logging::Write(logging::Level::kWarning,
                   "the head of a configuration can't be read",
                   {{.name = "error", .value = MessageOf(head.status())}});
    return std::nullopt;
  }
  const std::lock_guard lock(this->mutex);
  return this->replica.Receive(*std::move(head));
}

void ConfigKeeper::Keep(const config::Reception& broken_off) {
  const std::lock_guard lock(this->mutex);
  this->replica.Keep(broken_off);
}

Adoption ConfigKeeper::Adopt(const config::Reception& received) {
  const std::lock_guard lock(this->mutex);
  const config::Head former = this->replica.ActiveHead();
  const auto errors = this->replica.Adopt(received);
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
