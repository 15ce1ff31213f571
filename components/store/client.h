#ifndef COMPONENTS_STORE_CLIENT_H_
#define COMPONENTS_STORE_CLIENT_H_

#include <atomic>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/store/protocol.h"

namespace kingcupstair::store {

/// HTTP client of the platform's key-value store. Calls suspend the calling
/// fiber. An error means that the outcome is unknown: a write may have taken
/// effect. A response of an era before the latest known one is an error.
class Client {
 public:
  struct Options {
    Endpoint server;
    /// Timeout of a call until its response begins. A watch adds its waiting
    /// time. The default is four times the response time of a store that is 60
    /// times slower than its usual 4 ms.
    Duration timeout{std::chrono::seconds(1)};
    /// Timeout of a response that has begun, while it keeps coming. The default
    /// is what ten of the longest values of 1 MB take on a link of 10 Mbit/s.
    Duration transfer_timeout{std::chrono::seconds(12)};
    Protocol protocol = FleetProtocol();
  };

  explicit Client(Options options);

  struct ReadOptions {
    /// Allows a connection that was kept from an earlier call.
    bool reuse_connection = true;
  };

  /// Reads a key. Returns an entry with version 0 if the key does not exist.
  absl::StatusOr<Entry> Get(const std::string& key) const {
    return this->Get(key, {});
  }
  absl::StatusOr<Entry> Get(const std::string& key,
                            const ReadOptions& read_options) const;

  /// Waits up to `wait` until the version of the key is above `after` and
  /// returns the entry. `cancellation` ends the wait; it may be null.
  absl::StatusOr<Entry> Watch(const std::string& key,
                              uint64_t after,
                              Duration wait,
                              const CancellationPtr& cancellation) const;

  /// Reads all keys with a prefix, page by page. The listing has the revision
  /// of the first page and may already contain later changes. If
  /// `may_be_stale`, the listing may be seconds old.
  absl::StatusOr<Listing> List(const std::string& prefix,
                               bool may_be_stale) const;

  /// Waits up to `call.wait` for changes below a prefix after a revision and
  /// returns the changes.
  absl::StatusOr<Changes> WatchPrefix(const WatchCall& call) const;

  /// Writes a value if the version of the key is `expected`; 0 means that the
  /// key must not exist yet. Returns kConflict if the version differs.
  absl::StatusOr<PutResult> Put(const std::string& key,
                                const std::string& value,
                                uint64_t expected) const;

  /// Writes a value regardless of the version of the key. The store deletes the
  /// key when the lease expires.
  absl::StatusOr<PutResult> PutLeased(const std::string& key,
                                      const std::string& value,
                                      LeaseId lease) const;

  /// Writes a value regardless of the version of the key.
  absl::Status Overwrite(const std::string& key,
                         const std::string& value) const;

  /// Deletes a key.
  absl::Status Delete(const std::string& key) const;

  /// Creates a lease that expires after `lifetime` unless it is renewed.
  absl::StatusOr<LeaseId> GrantLease(Duration lifetime) const;

  /// Restarts the lifetime of a lease. Returns false if the lease has expired.
  absl::StatusOr<bool> RenewLease(LeaseId lease) const;

  /// Returns the latest known era of the store, counted from 1; 0 if the store
  /// has none.
  uint64_t era() const { return this->latest_era->load(); }

  /// Records an era of which a peer has told.
  void RecordEra(uint64_t era) const;
  absl::Status ListingError(const std::string& reason) const;

 private:
  /// Sends a request and returns the response. An error carries `step` and the
  /// address of the store.
  absl::StatusOr<http::Response> SendRequest(
      const char* step,
      const http::Request& request,
      Duration timeout,
      const CancellationPtr& cancellation = nullptr,
      bool reuse_connection = true) const;
  absl::StatusOr<PutResult> Write(const PutCall& call) const;

  Options options;
  std::unique_ptr<std::atomic<uint64_t>> latest_era =
      std::make_unique<std::atomic<uint64_t>>(0);
  /// False after a call without a response: other connections may have gone
  /// silent with that of the call.
  std::unique_ptr<std::atomic<bool>> may_reuse_connections =
      std::make_unique<std::atomic<bool>>(true);
};

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_CLIENT_H_
