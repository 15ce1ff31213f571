#include "components/store/publisher.h"

#include <algorithm>
#include <set>

#include "components/base/hash.h"
#include "components/config/chunks.h"
#include "components/config/revision.h"
#include "components/fibers/worker_pool.h"
#include "components/store/keys.h"

namespace kingcupstair::store {
namespace {

constexpr int kMaxTries = 5;
constexpr Duration kRetryInterval{std::chrono::milliseconds(200)};

template <typename Action>
auto Retry(Action action) -> decltype(action()) {
  for (int i = 1; i < kMaxTries; ++i) {
    auto result = action();
    if (result.ok()) {
      return result;
    }
    fibers::SleepFor(kRetryInterval);
  }
  return action();
}

absl::StatusOr<StoredConfiguration> TryReadConfiguration(const Client& client) {
  const auto entry = client.Get(kHeadKey);
  if (!entry.ok()) {
    return entry.status();
  }
  StoredConfiguration stored{.head_version = entry->version};
  if (entry->version == 0) {
    return stored;
  }
  const auto head = config::DecodeHead(entry->value);
  if (!head.ok()) {
    return head.status();
  }
  stored.head = *head;
  for (const std::string& id : stored.head.chunks) {
    const auto chunk = client.Get(ChunkKey(id));
    if (!chunk.ok()) {
      return chunk.status();
    }
    if (config::ChunkId(chunk->value) != id) {
      return absl::UnavailableError(
          "a chunk was deleted or replaced during the read");
    }
    stored.text += chunk->value;
  }
  return stored;
}

absl::Status WriteNewChunks(const Client& client,
                            const std::vector<config::Chunk>& chunks,
                            const config::Head& base) {
  const std::set<std::string> stored_ids(base.chunks.begin(),
                                         base.chunks.end());
  for (const config::Chunk& chunk : chunks) {
    if (stored_ids.contains(chunk.id)) {
      continue;
    }
    const absl::Status status =
        Retry([&] { return client.Overwrite(ChunkKey(chunk.id), chunk.text); });
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

// After a restore the stored head is older than what the hosts have. A revision
// of the new era is above all those of the former one.
uint64_t NextRevision(uint64_t base, uint64_t era) {
  config::Revision next = config::Unpack(base);
  ++next.number;
  next.era = std::max(next.era, era);
  return config::Pack(next);
}

// Deletes the chunks that the base superseded, except those that the base or
// the new head uses. The chunks of the base stay for hosts that are still
// reading the base. The next change deletes the chunks that the new head
// superseded.
void DeleteUnusedChunks(const Client& client,
                        const config::Head& base,
                        const config::Head& head) {
  std::set<std::string> used(head.chunks.begin(), head.chunks.end());
  used.insert(base.chunks.begin(), base.chunks.end());
  for (const std::string& id : base.superseded) {
    if (!used.contains(id)) {
      client.Delete(ChunkKey(id)).IgnoreError();
    }
  }
}

std::vector<std::string> SupersededChunks(const config::Head& base,
                                          const config::Head& head) {
  const std::set<std::string> used(head.chunks.begin(), head.chunks.end());
  std::vector<std::string> superseded;
  for (const std::string& id : base.chunks) {
    if (!used.contains(id)) {
      superseded.push_back(id);
    }
  }
  return superseded;
}

}  // namespace

absl::StatusOr<StoredConfiguration> ReadConfiguration(const Client& client) {
  return Retry([&] { return TryReadConfiguration(client); });
}

// The compare-and-swap may take effect although its response is lost. After a
// write that did not succeed, the head is therefore read from the store. If the
// stored head has the write id of this change, the write took effect. If the
// stored head still has the version of the base, repeating the write is safe: a
// second write to take effect would get a version conflict.
absl::StatusOr<PublishResult> Publish(const Client& client,
                                      const StoredConfiguration& base,
                                      const ConfigurationChange& change) {
  const auto chunks = config::SplitIntoChunks(change.text);
  config::Head head{.revision = NextRevision(base.head.revision, client.era()),
                    .write_id = RandomId(),
                    .author = change.author,
                    .summary = change.summary};
  for (const config::Chunk& chunk : chunks) {
    head.chunks.push_back(chunk.id);
  }
  head.superseded = SupersededChunks(base.head, head);
  if (const auto status = WriteNewChunks(client, chunks, base.head);
      !status.ok()) {
    return status;
  }
  absl::Status last_status;
  for (int i = 0; i < kMaxTries; ++i) {
    const auto put =
        client.Put(kHeadKey, config::EncodeHead(head), base.head_version);
    if (put.ok() && *put == PutResult::kWritten) {
      DeleteUnusedChunks(client, base.head, head);
      return PublishResult{Published{.revision = head.revision}};
    }
    const auto current = ReadConfiguration(client);
    if (!current.ok()) {
      last_status = current.status();
      continue;
    }
    if (current->head.write_id == head.write_id) {
      return PublishResult{Published{.revision = head.revision}};
    }
    if (current->head_version != base.head_version) {
      return PublishResult{VersionConflict{.stored = *current}};
    }
    last_status = put.status();
  }
  return last_status.ok() ? absl::UnavailableError(
                                "the store refused the head although its "
                                "version is unchanged")
                          : last_status;
}

}  // namespace kingcupstair::store
