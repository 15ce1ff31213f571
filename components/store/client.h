#ifndef COMPONENTS_STORE_CLIENT_H_
#define COMPONENTS_STORE_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/statusor.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"

namespace kingcupstair::store {

/// A value and the version that the store gave it. Version 0 stands for "no
/// such key".
struct Entry {
  std::string value;
  uint64_t version = 0;

  bool operator==(const Entry&) const = default;
};

/// What a conditional write came to.
enum class PutResult {
  kWritten,
  kConflict,  ///< The key stands at another version; nothing was written.
};

/// The platform's key-value store, over HTTP. Calls suspend the calling fiber.
/// An error says that the outcome is not known: a write may have taken effect.
class Client {
 public:
  struct Options {
    Endpoint server;
    Duration timeout{std::chrono::seconds(2)};
  };

  explicit Client(Options options);

  /// Reads a key; version 0 when there is none.
  absl::StatusOr<Entry> Get(const std::string& key) const;

  /// Waits until the key stands at a version above `after`, at most `wait`.
  absl::StatusOr<Entry> Watch(const std::string& key,
                              uint64_t after,
                              Duration wait) const;

  /// Writes if the key stands at version `expected`; 0 means that it must not
  /// exist yet.
  absl::StatusOr<PutResult> Put(const std::string& key,
                                const std::string& value,
                                uint64_t expected) const;

  /// Writes whatever stands there.
  absl::Status Overwrite(const std::string& key,
                         const std::string& value) const;

  absl::Status Delete(const std::string& key) const;

 private:
  absl::StatusOr<Entry> Read(const std::string& target, Duration timeout) const;

  Options options;
};

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_CLIENT_H_
