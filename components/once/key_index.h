#ifndef COMPONENTS_ONCE_KEY_INDEX_H_
#define COMPONENTS_ONCE_KEY_INDEX_H_

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "components/base/time.h"

namespace kingcupstair::once {

/// Index from a caller's Idempotency-Key to the attempt that the key is bound
/// to at this host.
class KeyIndex {
 public:
  struct Options {
    /// Time for which a binding is kept, from the first binding of the key on.
    Duration retention{std::chrono::minutes(10)};
  };

  explicit KeyIndex(Options options);

  /// Returns the request id of the attempt bound to `key`, or nullopt.
  std::optional<std::string> Find(const std::string& key, Instant now);

  /// Binds `key` to an attempt. Replaces an earlier attempt, which must not
  /// have run.
  void Bind(const std::string& key, const std::string& request_id, Instant now);

 private:
  struct BoundKey {
    std::string key;
    Instant at;
  };

  void Expire(Instant now);

  Options options;
  /// Request ids of the attempts by key.
  std::unordered_map<std::string, std::string> request_ids;
  /// In the order of their first binding.
  std::deque<BoundKey> bound_keys;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_KEY_INDEX_H_
