#include "apps/store_standin/store_state.h"

namespace kingcupstair {

std::optional<StoredValue> StoreState::Get(const std::string& key,
                                           Instant now) const {
  const auto found = this->values.find(key);
  if (found == this->values.end() || found->second.expires <= now) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<uint64_t> StoreState::Put(const std::string& key,
                                        const StoredValue& value,
                                        std::optional<uint64_t> expected,
                                        Instant now) {
  const auto current = this->Get(key, now);
  const uint64_t version = current.has_value() ? current->version : 0;
  if (expected.has_value() && *expected != version) {
    return std::nullopt;
  }
  StoredValue stored = value;
  stored.version = ++this->last_version;
  this->values[key] = stored;
  return stored.version;
}

void StoreState::Delete(const std::string& key) {
  this->values.erase(key);
}

void StoreState::TakeCopy() {
  this->copied_values = this->values;
  this->copied_version = this->last_version;
}

void StoreState::RestoreCopy() {
  this->values = this->copied_values;
  this->last_version = this->copied_version;
  std::erase_if(this->values, [](const auto& entry) {
    return entry.second.expires != Instant::max();
  });
}

}  // namespace kingcupstair
