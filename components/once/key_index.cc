#include "components/once/key_index.h"

namespace kingcupstair::once {

KeyIndex::KeyIndex(Options options) : options(options) {}

std::optional<std::string> KeyIndex::Find(const std::string& key, Instant now) {
  this->Expire(now);
  const auto found = this->request_ids.find(key);
  if (found == this->request_ids.end()) {
    return std::nullopt;
  }
  return found->second;
}

void KeyIndex::Bind(const std::string& key,
                    const std::string& request_id,
                    Instant now) {
  if (this->request_ids.insert_or_assign(key, request_id).second) {
    this->bound_keys.push_back({.key = key, .at = now});
  }
}

void KeyIndex::Expire(Instant now) {
  while (!this->bound_keys.empty() &&
         this->bound_keys.front().at + this->options.retention <= now) {
    this->request_ids.erase(this->bound_keys.front().key);
    this->bound_keys.pop_front();
  }
}

}  // namespace kingcupstair::once
