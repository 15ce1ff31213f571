#include "components/store/departures.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "components/base/json_text.h"
#include "components/store/keys.h"

namespace kingcupstair::store {

// A connection that was kept from an earlier call may have gone silent, and the
// upstream waits only for a moment.
absl::StatusOr<StoredDepartures> ReadDepartures(const Client& client,
                                                const std::string& host) {
  const auto entry =
      client.Get(DeparturesKey(host), {.reuse_connection = false});
  if (!entry.ok()) {
    return entry.status();
  }
  StoredDepartures stored{.version = entry->version};
  if (entry->version == 0) {
    return stored;
  }
  const auto json = nlohmann::json::parse(entry->value, nullptr,
                                          /*allow_exceptions=*/false);
  if (!json.is_array()) {
    return absl::DataLossError(absl::StrCat("the departures in the store, ",
                                            DeparturesKey(host),
                                            ", are not a JSON array"));
  }
  for (const nlohmann::json& name : json) {
    if (!name.is_string()) {
      return absl::DataLossError(absl::StrCat("a departure in the store, ",
                                              DeparturesKey(host),
                                              ", is not a JSON string"));
    }
    stored.names.push_back(name.get<std::string>());
  }
  return stored;
}

absl::StatusOr<PutResult> WriteDepartures(const Client& client,
                                          const std::string& host,
                                          const std::vector<std::string>& names,
                                          const StoredDepartures& base) {
  return client.Put(DeparturesKey(host), JsonText(names), base.version);
}

}  // namespace kingcupstair::store
