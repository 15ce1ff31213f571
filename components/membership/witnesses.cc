#include "components/membership/witnesses.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "components/base/hash.h"

namespace kingcupstair::membership {

std::vector<std::string> WitnessesOf(const std::string& host,
                                     const std::string& zone,
                                     const std::vector<HostRecord>& hosts,
                                     size_t count) {
  std::vector<std::tuple<bool, uint64_t, std::string>> ranked;
  for (const HostRecord& peer : hosts) {
    if (peer.host != host && !peer.leaving) {
      ranked.emplace_back(peer.zone != zone,
                          StableHash(absl::StrCat(host, "/", peer.host)),
                          peer.host);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  ranked.resize(std::min(ranked.size(), count));
  std::vector<std::string> witnesses;
  for (const auto& [is_elsewhere, hash, peer] : ranked) {
    witnesses.push_back(peer);
  }
  return witnesses;
}

}  // namespace kingcupstair::membership
