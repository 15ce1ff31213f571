#ifndef COMPONENTS_STORE_PROTOCOL_H_
#define COMPONENTS_STORE_PROTOCOL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair::store {

/// A value and the version that the store gave it. Version 0 stands for "no
/// such key".
struct Entry {
  std::string value;
  uint64_t version = 0;

  bool operator==(const Entry&) const = default;
};

/// An entry with its key; version 0 says that the key was deleted.
struct KeyedEntry {
  std::string key;
  Entry entry;

  bool operator==(const KeyedEntry&) const = default;
};

/// A part of the keys with one prefix.
struct Listing {
  std::vector<KeyedEntry> entries;
  /// More follow behind the last key.
  bool more = false;
  /// The store's revision when it answered.
  uint64_t revision = 0;

  bool operator==(const Listing&) const = default;
};

/// What has changed below a prefix.
struct Changes {
  std::vector<KeyedEntry> entries;
  /// To watch on from.
  uint64_t revision = 0;
  /// The store no longer knows all changes since the revision asked for.
  bool history_lost = false;

  bool operator==(const Changes&) const = default;
};

/// What a conditional write came to.
enum class PutResult {
  kWritten,
  kConflict,   ///< The key stands at another version; nothing was written.
  kLeaseEnded  ///< The lease for the key has ended; nothing was written.
};

/// A lease id; 0 stands for none.
using LeaseId = uint64_t;

/// One write of a value.
struct PutCall {
  std::string key;
  std::string value;
  /// The version that must stand there, 0 for none; unset for any.
  std::optional<uint64_t> expected;
  LeaseId lease = 0;
};

struct ListCall {
  std::string prefix;
  /// Begin behind this key.
  std::string after;
  /// An answer that may be seconds old will do, and is cheaper.
  bool may_be_stale = false;
};

struct WatchCall {
  std::string prefix;
  uint64_t after = 0;
  Duration wait{};
};

/// How the store's calls are put into HTTP requests and its answers read.
/// Functions that a store does not offer are empty.
struct Protocol {
  std::function<http::Request(const std::string& key)> get;
  std::function<http::Request(const PutCall& call)> put;
  std::function<http::Request(const std::string& key)> remove;
  /// Waits for a key to rise above a version.
  std::function<
      http::Request(const std::string& key, uint64_t after, Duration wait)>
      watch_key;
  std::function<http::Request(const ListCall& call)> list;
  std::function<http::Request(const WatchCall& call)> watch;
  std::function<http::Request(Duration life)> grant_lease;
  std::function<http::Request(LeaseId lease)> renew_lease;

  std::function<absl::StatusOr<Entry>(const http::Response&)> read_entry;
  std::function<absl::StatusOr<PutResult>(const http::Response&)> read_put;
  std::function<absl::StatusOr<Listing>(const http::Response&)> read_listing;
  std::function<absl::StatusOr<Changes>(const http::Response&)> read_changes;
  std::function<absl::StatusOr<LeaseId>(const http::Response&)> read_lease;
};

/// The protocol that the fleet's own tools and stand-ins speak.
Protocol OwnProtocol();

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_PROTOCOL_H_
