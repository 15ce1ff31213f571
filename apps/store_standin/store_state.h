#ifndef APPS_STORE_STANDIN_STORE_STATE_H_
#define APPS_STORE_STANDIN_STORE_STATE_H_

#include <map>
#include <optional>
#include <string>

#include "components/base/time.h"

namespace kingcupstair {

/// A value with its version and the time at which its lease lapses.
struct StoredValue {
  std::string value;
  uint64_t version = 0;
  Instant expires = Instant::max();

  bool operator==(const StoredValue&) const = default;
};

/// The keys and values of the stand-in for the platform's store.
class StoreState {
 public:
  /// The value of `key` unless its lease has lapsed.
  std::optional<StoredValue> Get(const std::string& key, Instant now) const;

  /// Writes if `expected` is nothing or the version that stands there, 0 for
  /// an absent key. Gives the new version, or nothing on a conflict.
  std::optional<uint64_t> Put(const std::string& key,
                              const StoredValue& value,
                              std::optional<uint64_t> expected,
                              Instant now);

  void Delete(const std::string& key);

 private:
  std::map<std::string, StoredValue> values;
  uint64_t last_version = 0;
};

}  // namespace kingcupstair

#endif  // APPS_STORE_STANDIN_STORE_STATE_H_
