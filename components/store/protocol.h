#ifndef COMPONENTS_STORE_PROTOCOL_H_
#define COMPONENTS_STORE_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "components/base/cancellation.h"
#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair::store {

/// A value and its version in the store. Version 0 means that the key does not
/// exist.
struct Entry {
  std::string value;
  uint64_t version = 0;

  bool operator==(const Entry&) const = default;
};

/// An entry with its key. Version 0 means that the key was deleted.
struct KeyedEntry {
  std::string key;
  Entry entry;

  bool operator==(const KeyedEntry&) const = default;
};

/// Keys with one prefix: one page of them, or all.
struct Listing {
  std::vector<KeyedEntry> entries;
  /// True if the store has more keys after the last one in `entries`.
  bool more = false;
  /// The store's revision at the time of the response.
  uint64_t revision = 0;
  /// The era of the store in which the listing was read.
  uint64_t era = 0;

  bool operator==(const Listing&) const = default;
};

/// Changes below a prefix that a watch returned.
struct Changes {
  std::vector<KeyedEntry> entries;
  /// Revision to continue the watch from.
  uint64_t revision = 0;
  /// True if the store no longer has all changes since the requested revision.
  bool history_lost = false;
  /// The era of the store in which the changes were read.
  uint64_t era = 0;

  bool operator==(const Changes&) const = default;
};

/// Result of a write.
enum class PutResult {
  kWritten,
  kConflict,     ///< Version conflict; nothing was written.
  kLeaseExpired  ///< The lease has expired; nothing was written.
};

/// Id of a lease; 0 means no lease.
using LeaseId = uint64_t;

/// Parameters of a write.
struct PutCall {
  std::string key;
  std::string value;
  /// Version that the key must have for the write to take effect. 0 means that
  /// the key must not exist; unset means any version.
  std::optional<uint64_t> expected;
  LeaseId lease = 0;
};

/// Parameters of a listing.
struct ListCall {
  std::string prefix;
  /// The listing starts after this key.
  std::string after;
  /// Allows a response that is seconds old, which costs the store less.
  bool may_be_stale = false;
};

/// Parameters of a watch.
struct WatchCall {
  std::string prefix;
  /// The watch returns changes after this revision of the store.
  uint64_t after = 0;
  /// Longest time to wait for a change.
  Duration wait{};
  /// Ends the watch; may be null.
  CancellationPtr cancellation;
};

/// Functions that encode store calls as HTTP requests and decode the responses.
/// A function for a call that the store does not support is empty.
struct Protocol {
  std::function<http::Request(const std::string& key)> get;
  std::function<http::Request(const PutCall& call)> put;
  std::function<http::Request(const std::string& key)> remove;
  /// Waits up to `wait` until the version of a key is above `after`.
  std::function<
      http::Request(const std::string& key, uint64_t after, Duration wait)>
      watch_key;
  std::function<http::Request(const ListCall& call)> list;
  std::function<http::Request(const WatchCall& call)> watch;
  std::function<http::Request(Duration lifetime)> grant_lease;
  std::function<http::Request(LeaseId lease)> renew_lease;

  std::function<absl::StatusOr<Entry>(const http::Response&)> read_entry;
  std::function<absl::StatusOr<PutResult>(const http::Response&)> read_put;
  std::function<absl::StatusOr<Listing>(const http::Response&)> read_listing;
  std::function<absl::StatusOr<Changes>(const http::Response&)> read_changes;
  std::function<absl::StatusOr<LeaseId>(const http::Response&)> read_lease;
  /// Returns the era of the store, or nothing if the response bears none. The
  /// era rises each time that the store is restored from an older copy.
  std::function<std::optional<uint64_t>(const http::Response&)> read_era;
};

/// Returns the number in a header field of a response, or nothing if the field
/// is missing or not a number.
std::optional<uint64_t> ReadNumberHeader(const http::Response& response,
                                         const std::string& name);

/// Returns the protocol that the fleet's own tools and stand-ins use.
Protocol FleetProtocol();

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_PROTOCOL_H_
