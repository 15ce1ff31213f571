#ifndef COMPONENTS_METRICS_COUNTERS_H_
#define COMPONENTS_METRICS_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::metrics {

/// A name and value that distinguish counters of the same name.
struct Label {
  std::string name;
  std::string value;

  bool operator==(const Label&) const = default;
};

/// The counters of one process, by name and labels. Counting takes a shared
/// lock and one atomic addition. Only the creation of a counter takes the lock
/// exclusively. Safe to use from several threads.
class Counters {
 public:
  /// Adds to a counter. The counter is created at its first use.
  void Add(const std::string& name,
           const std::vector<Label>& labels,
           uint64_t count = 1);

  /// Returns a counter, which lives as long as this object. For counts that are
  /// too frequent for a search by name. Creates the counter if it is missing.
  std::atomic<uint64_t>& Reference(const std::string& name,
                                   const std::vector<Label>& labels);

  /// Counts a duration in a histogram, in milliseconds rounded up:
  /// NAME_ms_bucket by upper bound, and NAME_ms_sum.
  void Observe(const std::string& name,
               const std::vector<Label>& labels,
               Duration duration);

  /// Returns the value of a counter, or 0 if the counter does not exist.
  uint64_t Value(const std::string& name,
                 const std::vector<Label>& labels) const;

  /// Returns all counters in the text format of metric collectors.
  std::string Text() const;

 private:
  /// Returns the counter with this key. Creates the counter if it is missing.
  std::atomic<uint64_t>& FindOrCreate(const std::string& key);

  mutable std::shared_mutex mutex;
  std::map<std::string, std::unique_ptr<std::atomic<uint64_t>>> values;
};

}  // namespace kingcupstair::metrics

#endif  // COMPONENTS_METRICS_COUNTERS_H_
