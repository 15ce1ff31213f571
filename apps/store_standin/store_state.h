#ifndef APPS_STORE_STANDIN_STORE_STATE_H_
#define APPS_STORE_STANDIN_STORE_STATE_H_

#include <map>
#include <optional>
#include <string>

#include "components/base/time.h"

namespace kingcupstair {

/// A value with its version and the time at which its lease expires.
struct StoredValue {
  std::string value;
  uint64_t version = 0;
  Instant expires = Instant::max();

  bool operator==(const StoredValue&) const = default;
};

/// Keys and values of the stand-in for the platform's store.
class StoreState {
 public:
  /// Returns the value of `key`, or nothing if the key is absent or its lease
  /// has expired.
  std::optional<StoredValue> Get(const std::string& key, Instant now) const;

  /// Writes `value` if `expected` is nothing or equals the current version,
  /// which is 0 for an absent key. Returns the new version, or nothing on a
  /// version conflict.
  std::optional<uint64_t> Put(const std::string& key,
                              const StoredValue& value,
                              std::optional<uint64_t> expected,
                              Instant now);

  void Delete(const std::string& key);

  /// Takes a copy of all keys and of the last version.
  void TakeCopy();

  /// Returns to the copy. Keys with a lease are gone, and versions are given
  /// out again.
  void RestoreCopy();

 private:
  using Values = std::map<std::string, StoredValue>;

  Values values;
  uint64_t last_version = 0;
  Values copied_values;
  uint64_t copied_version = 0;
};

}  // namespace kingcupstair

#endif  // APPS_STORE_STANDIN_STORE_STATE_H_
