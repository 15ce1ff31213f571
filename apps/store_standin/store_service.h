#ifndef APPS_STORE_STANDIN_STORE_SERVICE_H_
#define APPS_STORE_STANDIN_STORE_SERVICE_H_

#include <map>
#include <string>

#include "apps/store_standin/store_state.h"
#include "components/http/message.h"

namespace kingcupstair {

/// HTTP interface of the stand-in store. All requests run on one thread.
///
///   GET    /v1/kv/KEY[?after=VERSION&wait_ms=N]   a read; with `wait_ms` a
///                         watch, which waits N ms at most for a version above
///                         VERSION
///   PUT    /v1/kv/KEY     X-Expect-Version, X-Lease-Ms
///   DELETE /v1/kv/KEY
///   GET    /v1/counts     calls by kind
///   POST   /v1/faults     {"down":bool,"delay_ms":N,"lose_answers":N}
///   POST   /v1/copy       takes a copy of the store
///   POST   /v1/restore    restores the store from the copy, in a new era
///
/// Responses bear the era, if there is one, as X-Store-Era. `down` closes
/// connections without a response. `lose_answers` does so for the next N
/// writes, after they have taken effect.
class StoreService {
 public:
  /// `era` is the first era; 0 for a store without eras.
  explicit StoreService(uint64_t era) : era(era) {}

  http::Response Handle(const http::Request& request);

 private:
  struct Faults {
    bool down = false;
    int delay_ms = 0;
    int lose_answers = 0;
  };

  http::Response HandleCall(const http::Request& request);
  http::Response HandleKey(const http::Request& request);
  http::Response Read(const std::string& key, const std::string& query);
  http::Response Write(const std::string& key, const http::Request& request);
  http::Response SetFaults(const std::string& body);
  http::Response Counts() const;

  uint64_t era;
  StoreState state;
  Faults faults;
  std::map<std::string, int> counts;
};

}  // namespace kingcupstair

#endif  // APPS_STORE_STANDIN_STORE_SERVICE_H_
