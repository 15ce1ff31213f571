#include "components/once/key_index.h"

namespace kingcupstair::once {

KeyIndex::KeyIndex(Options options) : options(options) {}

std::optional<std::string> KeyIndex::Find(const std::string& key, Instant now) {
  this->Expire(now);
  const auto found = this->attempts.find(key);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  return found->second;
}

void KeyIndex::Bind(const std::string& key,
                    const std::string& request_id,
                    Instant now) {
  if (this->attempts.insert_or_assign(key, request_id).second) {
    this->order.push_back({.key = key, .at = now});
  }
}

void KeyIndex::Expire(Instant now) {
  while (!this->order.empty() &&
         this->order.front().at + this->options.retention <= now) {
    this->attempts.erase(this->order.front().key);
    this->order.pop_front();
  }
}

}  // namespace kingcupstair::once
