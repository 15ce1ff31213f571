#ifndef COMPONENTS_STORE_CLIENT_H_
#define COMPONENTS_STORE_CLIENT_H_

#include <string>

#include "absl/status/statusor.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"
#include "components/store/protocol.h"

namespace kingcupstair::store {

/// The platform's key-value store, over HTTP. Calls suspend the calling fiber.
/// An error says that the outcome is not known: a write may have taken effect.
class Client {
 public:
  struct Options {
    Endpoint server;
    /// For an answer, besides the time that a watch waits: four times what a
    /// store takes that is sixty times slower than its usual 4 ms.
    Duration timeout{std::chrono::seconds(1)};
    Protocol protocol = OwnProtocol();
  };

  explicit Client(Options options);

  /// Reads a key; version 0 when there is none.
  absl::StatusOr<Entry> Get(const std::string& key) const;

  /// Waits until the key stands at a version above `after`, at most `wait`.
  absl::StatusOr<Entry> Watch(const std::string& key,
                              uint64_t after,
                              Duration wait) const;

  /// All keys with a prefix. Changes after its revision may be in it already.
  absl::StatusOr<Listing> List(const std::string& prefix,
                               bool may_be_stale) const;

  /// Waits for changes below a prefix after a revision, at most `wait`.
  absl::StatusOr<Changes> WatchPrefix(const WatchCall& call) const;

  /// Writes if the key stands at version `expected`; 0 means that it must not
  /// exist yet.
  absl::StatusOr<PutResult> Put(const std::string& key,
                                const std::string& value,
                                uint64_t expected) const;

  /// Writes whatever stands there; the key ends with the lease.
  absl::StatusOr<PutResult> PutLeased(const std::string& key,
                                      const std::string& value,
                                      LeaseId lease) const;

  /// Writes whatever stands there.
  absl::Status Overwrite(const std::string& key,
                         const std::string& value) const;

  absl::Status Delete(const std::string& key) const;

  absl::StatusOr<LeaseId> GrantLease(Duration life) const;

  /// False when the lease has ended.
  absl::StatusOr<bool> RenewLease(LeaseId lease) const;

 private:
  absl::StatusOr<http::Response> Call(const char* step,
                                      const http::Request& request,
                                      Duration timeout) const;
  absl::StatusOr<PutResult> Write(const PutCall& call) const;

  Options options;
};

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_CLIENT_H_
