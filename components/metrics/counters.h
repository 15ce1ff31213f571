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

/// One name and value that tells counters of a family apart.
struct Label {
  std::string name;
  std::string value;

  bool operator==(const Label&) const = default;
};

/// The counters of one process, by name and labels. Counting takes a shared
/// lock and one atomic addition; only a new counter takes the lock alone.
class Counters {
 public:
  /// Adds to a counter, made at its first use.
  void Add(const std::string& name,
           const std::vector<Label>& labels,
           uint64_t count = 1);

  /// Counts a duration in a histogram: NAME_ms_bucket by upper bound, and
  /// NAME_ms_sum.
  void Observe(const std::string& name,
               const std::vector<Label>& labels,
               Duration duration);

  /// The counter's value; 0 when it was never counted.
  uint64_t Value(const std::string& name,
                 const std::vector<Label>& labels) const;

  /// All counters in the text form that metric collectors read.
  std::string Text() const;

 private:
  std::atomic<uint64_t>& Find(const std::string& key);

  mutable std::shared_mutex mutex;
  std::map<std::string, std::unique_ptr<std::atomic<uint64_t>>> values;
};

}  // namespace kingcupstair::metrics

#endif  // COMPONENTS_METRICS_COUNTERS_H_
