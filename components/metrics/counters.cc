#include "components/metrics/counters.h"

#include <mutex>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace kingcupstair::metrics {
namespace {

std::string KeyOf(const std::string& name, const std::vector<Label>& labels) {
  if (labels.empty()) {
    return name;
  }
  std::string key = name + "{";
  for (const Label& label : labels) {
    absl::StrAppend(&key, key.back() == '{' ? "" : ",", label.name, "=\"",
                    absl::CEscape(label.value), "\"");
  }
  return key + "}";
}

}  // namespace

void Counters::Add(const std::string& name,
                   const std::vector<Label>& labels,
                   uint64_t count) {
  this->Find(KeyOf(name, labels)).fetch_add(count, std::memory_order_relaxed);
}

uint64_t Counters::Value(const std::string& name,
                         const std::vector<Label>& labels) const {
  const std::shared_lock lock(this->mutex);
  const auto found = this->values.find(KeyOf(name, labels));
  return found == this->values.end() ? 0 : found->second->load();
}

std::string Counters::Text() const {
  const std::shared_lock lock(this->mutex);
  std::string text;
  for (const auto& [key, value] : this->values) {
    absl::StrAppend(&text, key, " ", value->load(), "\n");
  }
  return text;
}

std::atomic<uint64_t>& Counters::Find(const std::string& key) {
  {
    const std::shared_lock lock(this->mutex);
    const auto found = this->values.find(key);
    if (found != this->values.end()) {
      return *found->second;
    }
  }
  const std::lock_guard lock(this->mutex);
  auto& slot = this->values[key];
  if (slot == nullptr) {
    slot = std::make_unique<std::atomic<uint64_t>>(0);
  }
  return *slot;
}

}  // namespace kingcupstair::metrics
