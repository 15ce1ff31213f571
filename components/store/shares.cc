#include "components/store/shares.h"

#include <algorithm>

#include "components/store/keys.h"

namespace kingcupstair::store {
namespace {

/// Number of former eras whose tables are read if the present era has none yet:
/// the store may be restored more than once before hosts write one.
constexpr uint64_t kFormerErasRead = 3;
/// The first call of a client tells it the era.
constexpr int kMaxTries = 2;

absl::StatusOr<StoredShareTable> ReadInEra(const Client& client, uint64_t era) {
  const uint64_t oldest = era - std::min(era, kFormerErasRead);
  for (uint64_t each = era;; --each) {
    const auto entry = client.Get(SharesKey(each));
    if (!entry.ok()) {
      return entry.status();
    }
    if (client.era() != era) {
      return absl::AbortedError("the store was restored during the read");
    }
    if (entry->version > 0) {
      auto table = limits::DecodeShareTable(entry->value);
      if (!table.ok()) {
        return table.status();
      }
      const bool present = each == era;
      return StoredShareTable{.table = *std::move(table),
                              .era = era,
                              .version = present ? entry->version : 0,
                              .of_former_era = !present};
    }
    if (each == oldest) {
      return StoredShareTable{.era = era};
    }
  }
}

}  // namespace

absl::StatusOr<StoredShareTable> ReadShareTable(const Client& client) {
  absl::StatusOr<StoredShareTable> stored;
  for (int i = 0; i < kMaxTries; ++i) {
    stored = ReadInEra(client, client.era());
    if (!absl::IsAborted(stored.status())) {
      break;
    }
  }
  return stored;
}

absl::StatusOr<PutResult> WriteShareTable(const Client& client,
                                          const limits::ShareTable& table,
                                          const StoredShareTable& base) {
  return client.Put(SharesKey(base.era), limits::EncodeShareTable(table),
                    base.version);
}

}  // namespace kingcupstair::store
