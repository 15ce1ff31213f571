#include "components/metrics/counters.h"

#include <mutex>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace kingcupstair::metrics {
namespace {

/// Upper bounds of the histogram buckets. The range reaches from one hop
/// between hosts to the longest timeouts in use.
constexpr int64_t kBucketBoundsMs[] = {1,   2,   5,    10,   25,   50,   100,
                                       250, 500, 1000, 2500, 5000, 10000};

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
  this->FindOrCreate(KeyOf(name, labels))
      .fetch_add(count, std::memory_order_relaxed);
}

std::atomic<uint64_t>& Counters::Reference(const std::string& name,
                                           const std::vector<Label>& labels) {
  return this->FindOrCreate(KeyOf(name, labels));
}

// Buckets are cumulative, as metric collectors expect: a duration counts in
// every bucket with an upper bound at or above it.
void Counters::Observe(const std::string& name,
                       const std::vector<Label>& labels,
                       Duration duration) {
  const int64_t millis = ToMillisRoundedUp(duration);
  std::vector<Label> bucket = labels;
  bucket.push_back({.name = "le", .value = "+Inf"});
  this->Add(name + "_ms_bucket", bucket);
  for (const int64_t bound : kBucketBoundsMs) {
    if (millis <= bound) {
      bucket.back().value = absl::StrCat(bound);
      this->Add(name + "_ms_bucket", bucket);
    }
  }
  this->Add(name + "_ms_sum", labels, static_cast<uint64_t>(millis));
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

std::atomic<uint64_t>& Counters::FindOrCreate(const std::string& key) {
  {
    const std::shared_lock lock(this->mutex);
    const auto found = this->values.find(key);
    if (found != this->values.end()) {
      return *found->second;
    }
  }
  const std::lock_guard lock(this->mutex);
  auto& counter = this->values[key];
  if (counter == nullptr) {
    counter = std::make_unique<std::atomic<uint64_t>>(0);
  }
  return *counter;
}

}  // namespace kingcupstair::metrics
