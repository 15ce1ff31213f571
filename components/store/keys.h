#ifndef COMPONENTS_STORE_KEYS_H_
#define COMPONENTS_STORE_KEYS_H_

#include <cstdint>
#include <string>

namespace kingcupstair::store {

/// Keys of the records that the fleet keeps in the store.
inline constexpr char kHeadKey[] = "kingcupstair/head";

/// Returns the key of the share table. Each era of the store has a table of its
/// own; `era` is 0 in a store without eras.
inline std::string SharesKey(uint64_t era) {
  const std::string key = "kingcupstair/shares";
  return era == 0 ? key : key + "/" + std::to_string(era);
}

/// Returns the leased key under which a host registers itself, so that other
/// hosts can find it. Returns the common prefix of these keys if `host` is
/// empty.
inline std::string HostKey(const std::string& host) {
  return "kingcupstair/host/" + host;
}

/// Returns the key of the departures of the upstreams of a host.
inline std::string DeparturesKey(const std::string& host) {
  return "kingcupstair/departures/" + host;
}

/// Key of the crash evidence of the fleet.
inline constexpr char kCrashEvidenceKey[] = "kingcupstair/crashes";
/// Prefix of the keys of the states of roll-outs.
inline constexpr char kRolloutPrefix[] = "kingcupstair/rollout/";

/// Returns the key of a chunk of the configuration text.
inline std::string ChunkKey(const std::string& id) {
  return "kingcupstair/chunk/" + id;
}

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_KEYS_H_
