#ifndef COMPONENTS_STORE_KEYS_H_
#define COMPONENTS_STORE_KEYS_H_

#include <string>

namespace kingcupstair::store {

/// Names of the records that the fleet keeps in the store.
inline constexpr char kHeadKey[] = "kingcupstair/head";
inline constexpr char kSharesKey[] = "kingcupstair/shares";

/// The leased key by which a host is found; all of them for an empty name.
inline std::string HostKey(const std::string& host) {
  return "kingcupstair/host/" + host;
}

inline std::string ChunkKey(const std::string& id) {
  return "kingcupstair/chunk/" + id;
}

}  // namespace kingcupstair::store

#endif  // COMPONENTS_STORE_KEYS_H_
