#ifndef COMPONENTS_ONCE_KEY_INDEX_H_
#define COMPONENTS_ONCE_KEY_INDEX_H_

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "components/base/time.h"

namespace kingcupstair::once {

/// Which attempt a caller's Idempotency-Key stands for at this host.
class KeyIndex {
 public:
  struct Options {
    Duration retention{std::chrono::minutes(10)};
  };

  explicit KeyIndex(Options options);

  /// The attempt bound to `key`, or nothing.
  std::optional<std::string> Find(const std::string& key, Instant now);

  /// Binds `key` to an attempt, in place of an earlier one that never ran.
  void Bind(const std::string& key, const std::string& request_id, Instant now);

 private:
  struct Bound {
    std::string key;
    Instant at;
  };

  void Expire(Instant now);

  Options options;
  std::unordered_map<std::string, std::string> attempts;
  std::deque<Bound> order;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_KEY_INDEX_H_
